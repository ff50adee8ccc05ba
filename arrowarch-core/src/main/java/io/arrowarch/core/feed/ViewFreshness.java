package io.arrowarch.core.feed;

import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.Optional;

/**
 * As of when a router's view of the store is known to be complete, on the router's own monotonic
 * clock. The date rises only by what proves it, and never falls: what was known once stays known.
 */
final class ViewFreshness {
  /** The clocks of two machines run apart by less than one part in this many. */
  private static final int CLOCK_DRIFT_DIVISOR = 1_000;

  private final RouterClock clock;
  private Optional<Confirmation> newest = Optional.empty();

  /**
   * A proof.
   *
   * @param askedNanos when it was asked for, on the router's own clock
   * @param age of the view at that moment; negative where whoever answered knows it to be complete
   *     as of later. This length was measured elsewhere, and goes on while this machine sleeps
   */
  private record Confirmation(long askedNanos, Duration age) {}

  ViewFreshness(RouterClock clock) {
    this.clock = clock;
  }

  /** How old the view may be by now; empty before it was complete for the first time. */
  Optional<Duration> age() {
    return ageAt(clock.nanoTime());
  }

  /**
   * How old the view may have been at a moment; negative when it is known to be complete as of
   * later. The time for which a suspended machine has slept belongs to it: changes went on
   * meanwhile.
   */
  Optional<Duration> ageAt(long nanos) {
    return newest.map(proof -> ageAt(proof, nanos));
  }

  private Duration ageAt(Confirmation proof, long nanos) {
    long asked = proof.askedNanos;
    return proof.age.plusNanos(nanos - asked + clock.suspendedSinceNanos(asked));
  }

  /** Takes that the view was of some age, or younger, at a moment. */
  void confirm(long askedNanos, Duration age) {
    Confirmation proof = new Confirmation(askedNanos, age);
    long nowNanos = clock.nanoTime();
    boolean younger =
        newest.isEmpty() || ageAt(proof, nowNanos).compareTo(ageAt(newest.get(), nowNanos)) < 0;
    if (younger) {
      newest = Optional.of(proof);
    }
  }

  /**
   * Takes the end of a watch at the store. One that the store has held for its whole wait proves
   * the view until the end of the wait; any other may have been answered at once and then delayed.
   */
  void onWatchEnded(long startNanos, Duration wait, boolean unchanged) {
    boolean held = unchanged && clock.nanoTime() - startNanos >= wait.toNanos();
    Duration proven = held ? wait.minus(wait.dividedBy(CLOCK_DRIFT_DIVISOR)) : Duration.ZERO;
    confirm(startNanos, proven.negated());
  }
}

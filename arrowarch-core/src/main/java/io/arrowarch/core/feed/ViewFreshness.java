package io.arrowarch.core.feed;

import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.Optional;

/**
 * The time as of which a router's view of the store is known to be complete, on the router's own
 * monotonic clock. It moves forward only on proof and never back, because a change that was known
 * once stays known.
 */
final class ViewFreshness {
  /** The clocks of two machines drift apart by less than one part in this number. */
  private static final int CLOCK_DRIFT_DIVISOR = 1_000;

  private final RouterClock clock;
  private Optional<Confirmation> newest = Optional.empty();

  /**
   * A proof of the age of the view.
   *
   * @param askedNanos when the proof was requested, on the router's own clock
   * @param age the largest age that the view may have had at that time; negative if the answer
   *     proves it to be complete as of a later time. If it was measured on another machine, it
   *     includes time for which this machine was suspended
   */
  private record Confirmation(long askedNanos, Duration age) {}

  ViewFreshness(RouterClock clock) {
    this.clock = clock;
  }

  /** The largest age that the view may have now; empty until it was complete once. */
  Optional<Duration> age() {
    return ageAt(clock.nanoTime());
  }

  /**
   * The largest age that the view may have had at a given time; negative if the view is known to be
   * complete as of a later time. It includes time for which the machine was suspended, since
   * changes were made in that time too.
   */
  Optional<Duration> ageAt(long nanos) {
    return newest.map(proof -> ageAt(proof, nanos));
  }

  private Duration ageAt(Confirmation proof, long nanos) {
    long asked = proof.askedNanos;
    return proof.age.plusNanos(nanos - asked + clock.suspendedSinceNanos(asked));
  }

  /** Records a proof that the view had at most this age when the proof was requested. */
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
   * Records the end of a watch of the store. A watch without changes that lasted for its whole wait
   * proves the view as of the end of the wait. Any other one proves it as of the start only: the
   * store may have answered at once, and the answer may have been delayed.
   */
  void onWatchEnded(long startNanos, Duration wait, boolean unchanged) {
    boolean held = unchanged && clock.nanoTime() - startNanos >= wait.toNanos();
    Duration proven = held ? wait.minus(wait.dividedBy(CLOCK_DRIFT_DIVISOR)) : Duration.ZERO;
    confirm(startNanos, proven.negated());
  }
}

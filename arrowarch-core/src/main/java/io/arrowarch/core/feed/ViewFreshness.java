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
  private Optional<Long> asOfNanos = Optional.empty();

  ViewFreshness(RouterClock clock) {
    this.clock = clock;
  }

  /** How old the view may be by now; empty before it was complete for the first time. */
  Optional<Duration> age() {
    return asOfNanos.map(asOf -> Duration.ofNanos(clock.nanoTime() - asOf));
  }

  /** The date; empty before the view was complete for the first time. */
  Optional<Long> asOfNanos() {
    return asOfNanos;
  }

  /** Takes a date at which the view is known to have been complete. */
  void confirm(long nanos) {
    if (asOfNanos.isEmpty() || nanos > asOfNanos.get()) {
      asOfNanos = Optional.of(nanos);
    }
  }

  /**
   * Takes the end of a watch at the store. One that the store has held for its whole wait proves
   * the view until the end of the wait; any other may have been answered at once and then delayed.
   */
  void onWatchEnded(long startNanos, Duration wait, boolean unchanged) {
    long waitNanos = wait.toNanos();
    boolean held = unchanged && clock.nanoTime() - startNanos >= waitNanos;
    confirm(held ? startNanos + waitNanos - waitNanos / CLOCK_DRIFT_DIVISOR : startNanos);
  }
}

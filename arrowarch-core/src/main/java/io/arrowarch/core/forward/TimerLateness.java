package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * Estimates how late the timers of this router run, from the last timers that fired at the
 * objectives of requests, and how much of a request's objective to reserve for that. A request also
 * waits before the router reads it, for about as long as a timer is late, so the delay is reserved
 * twice. Reserving too much costs little: an answer sent a little early lacks only a part or two,
 * whereas a late answer has only a tenth of the value.
 *
 * <p>It matters on small machines whose processor is shared or temporarily exhausted.
 */
final class TimerLateness {
  /** Two delays: the request waits unread before it is seen, and its timer runs late. */
  private static final int DELAYS_PER_REQUEST = 2;

  /** Maximum fraction of an objective to reserve. */
  private static final double MAXIMUM_FRACTION = 0.15;

  private long lastNanos;
  private long previousNanos;

  /** Records how late a timer ran. */
  void record(long nanos) {
    previousNanos = lastNanos;
    lastNanos = Math.max(0, nanos);
  }

  /**
   * How much of an objective to reserve. Uses the shorter of the last two delays, since a single
   * long one may be chance.
   */
  long reserveNanos(Duration objective) {
    long most = (long) (MAXIMUM_FRACTION * objective.toNanos());
    return Math.min(most, DELAYS_PER_REQUEST * Math.min(lastNanos, previousNanos));
  }
}

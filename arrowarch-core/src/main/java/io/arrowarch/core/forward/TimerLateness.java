package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * How much later than due this router acts, as its last timers showed. A request waits about as
 * long unread before it is known to have come, so that both are kept back from its objective: an
 * answer that is late is worth a tenth, one that is a little early lacks a part or two.
 *
 * <p>Load pattern: small machines whose processor is shared or used up for a while.
 */
final class TimerLateness {
  /** Unread before and late after. */
  private static final int TIMES = 2;

  /** More of an objective is not kept back. */
  private static final double MOST = 0.15;

  private long lastNanos;
  private long previousNanos;

  /** Takes how late a timer ran. */
  void record(long nanos) {
    previousNanos = lastNanos;
    lastNanos = Math.max(0, nanos);
  }

  /**
   * What to keep back of an objective: after the shorter of the last two, since one may be chance.
   */
  long nanos(Duration objective) {
    long most = (long) (MOST * objective.toNanos());
    return Math.min(most, TIMES * Math.min(lastNanos, previousNanos));
  }
}

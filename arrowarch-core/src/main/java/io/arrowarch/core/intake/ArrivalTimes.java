package io.arrowarch.core.intake;

import java.time.Duration;

/**
 * Bounds how long something may have waited in its socket before an event loop handles it. The loop
 * polls its sockets, handles all that the poll has found, and polls again; so what it handles now
 * arrived after the previous poll. A loop that had nothing to do handles what arrives at once.
 *
 * <p>All times are on the router's monotonic clock, in nanoseconds. Not thread-safe.
 */
public final class ArrivalTimes {
  private boolean pollExpected;
  private boolean handledSincePoll;
  private long pollNanos;
  private long earliestNanos;
  private long earliestOfNewConnectionNanos;

  /**
   * Called for each event that the loop handles.
   *
   * @return whether the loop was idle before; the owner must then report its next poll
   */
  public boolean onEvent(long nowNanos) {
    handledSincePoll = true;
    if (pollExpected) {
      return false;
    }
    pollExpected = true;
    pollNanos = nowNanos;
    earliestNanos = nowNanos;
    earliestOfNewConnectionNanos = nowNanos;
    return true;
  }

  /**
   * Called just before the loop polls its sockets.
   *
   * @return the time since the previous poll, or since the loop was idle
   */
  public Duration onPoll(long nowNanos) {
    Duration turn = Duration.ofNanos(nowNanos - pollNanos);
    // A connection is accepted elsewhere and is polled one turn later than those that are known.
    earliestOfNewConnectionNanos = earliestNanos;
    earliestNanos = pollNanos;
    pollNanos = nowNanos;
    handledSincePoll = false;
    return turn;
  }

  /**
   * Called when all that the poll has found is handled.
   *
   * @return whether that was anything; the owner must then report the next poll too
   */
  public boolean onPolled() {
    pollExpected = handledSincePoll;
    return pollExpected;
  }

  /** Time since the poll that was reported last. */
  public Duration sincePoll(long nowNanos) {
    return Duration.ofNanos(nowNanos - pollNanos);
  }

  /** Upper bound of the time for which what is handled now has waited in its socket. */
  public Duration longestWait(long nowNanos) {
    return pollExpected ? Duration.ofNanos(nowNanos - earliestNanos) : Duration.ZERO;
  }

  /** The same bound for the first request of a connection. */
  public Duration longestWaitOnNewConnection(long nowNanos) {
    return pollExpected ? Duration.ofNanos(nowNanos - earliestOfNewConnectionNanos) : Duration.ZERO;
  }
}

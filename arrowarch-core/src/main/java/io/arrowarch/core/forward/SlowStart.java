package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * How many searches a process that has just started works on at a time. Its code is not compiled
 * yet, so that many searches at once would all be late; a few are in time and make the next ones
 * faster. The limit grows by one for each search that is in time, and goes after a while in any
 * case.
 */
final class SlowStart {
  private static final Duration LONGEST = Duration.ofMillis(3_500);
  private static final int FIRST_LIMIT = 3;

  private final long endNanos;
  private boolean over;
  private int limit = FIRST_LIMIT;
  private int inProgress;

  SlowStart(long startNanos) {
    this.endNanos = startNanos + LONGEST.toNanos();
  }

  /** The code is compiled: there is no limit any more. */
  void end() {
    over = true;
  }

  boolean admits(long nowNanos) {
    return isOver(nowNanos) || inProgress < limit;
  }

  boolean isOver(long nowNanos) {
    over |= nowNanos >= endNanos;
    return over;
  }

  /** How much longer there is a limit at most. */
  Duration left(long nowNanos) {
    return isOver(nowNanos) ? Duration.ZERO : Duration.ofNanos(endNanos - nowNanos);
  }

  void onStarted() {
    inProgress++;
  }

  void onEnded(boolean inTime) {
    inProgress--;
    if (inTime) {
      limit++;
    }
  }
}

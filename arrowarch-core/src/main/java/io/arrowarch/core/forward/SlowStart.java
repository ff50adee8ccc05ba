package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * Limits the number of concurrent searches in a process that has just started. Its code is not
 * compiled yet, and with many concurrent searches all of them would be late; a few are in time, and
 * running them gets the code compiled for the next ones. The limit grows by one for each search
 * that ends in time, and is lifted after a fixed period in any case.
 */
final class SlowStart {
  private static final Duration MAXIMUM_DURATION = Duration.ofMillis(3_500);
  private static final int INITIAL_LIMIT = 3;

  private final long endNanos;
  private boolean over;
  private int limit = INITIAL_LIMIT;
  private int inProgress;

  SlowStart(long startNanos) {
    this.endNanos = startNanos + MAXIMUM_DURATION.toNanos();
  }

  /** Lifts the limit, since the code is compiled. */
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

  /** Upper bound of the time until the limit is lifted. */
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

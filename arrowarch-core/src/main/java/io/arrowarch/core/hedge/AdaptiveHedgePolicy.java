package io.arrowarch.core.hedge;

/** See {@link HedgePolicy#adaptive}. */
final class AdaptiveHedgePolicy implements HedgePolicy {
  private static final double LATENCY_QUANTILE = 0.95;
  private static final double LATENCY_FACTOR = 1.5;

  /**
   * Until latencies are known, the quantile is taken to be the deadline divided by this, so that a
   * hedge is sent in time to help.
   */
  private static final int FALLBACK_DEADLINE_DIVISOR = 4;

  private static final long MINIMUM_DELAY_NANOS = 1_000_000;

  @Override
  public long delayNanos(LatencyTracker latencies, long deadlineNanos) {
    long fallback = deadlineNanos / FALLBACK_DEADLINE_DIVISOR;
    double delay = LATENCY_FACTOR * latencies.quantileNanos(LATENCY_QUANTILE, fallback);
    return Math.max(MINIMUM_DELAY_NANOS, (long) delay);
  }

  @Override
  public boolean isBudgeted() {
    return true;
  }
}

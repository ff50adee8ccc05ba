package io.arrowarch.core.hedge;

/** Decides after what delay a slow attempt is hedged. */
public interface HedgePolicy {
  /**
   * How long an attempt may be outstanding before a hedge is sent, in nanoseconds.
   *
   * @param latencies recent latencies of the query kind
   * @param deadlineNanos time from the arrival of the query to its deadline
   */
  long delayNanos(LatencyTracker latencies, long deadlineNanos);

  /** Whether hedges cost tokens of the {@link ExtraAttemptBudget}. */
  boolean isBudgeted();

  /**
   * The policy used in production: a multiple of a latency quantile. Fewer than five slow replies
   * in a hundred do not change it (the 0.95 quantile), so they do not delay hedges.
   */
  static HedgePolicy adaptive() {
    return new AdaptiveHedgePolicy();
  }
}

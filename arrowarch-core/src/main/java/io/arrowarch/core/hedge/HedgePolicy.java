package io.arrowarch.core.hedge;

/** When an attempt is slow enough to start a second one. */
public interface HedgePolicy {
  /**
   * How long an attempt may be outstanding before a second one starts.
   *
   * @param latencies of the query kind
   * @param deadlineNanos the length of the query's deadline
   */
  long delayNanos(LatencyTracker latencies, long deadlineNanos);

  /** Whether hedges cost tokens of the {@link ExtraAttemptBudget}. */
  boolean isBudgeted();

  /**
   * The product's policy: a multiple of a quantile that a few slow replies in a hundred cannot
   * move, so that the delay stays put while replies get slow.
   */
  static HedgePolicy adaptive() {
    return new AdaptiveHedgePolicy();
  }
}

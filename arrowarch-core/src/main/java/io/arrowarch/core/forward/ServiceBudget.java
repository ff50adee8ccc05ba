package io.arrowarch.core.forward;

/**
 * This router's budget of extra attempts at one service in any window: the configured ratio of its
 * own requests, plus its share of the service's allowance.
 */
final class ServiceBudget {
  /**
   * Leaves a margin: a change of the number of routers, or an arrival, is not seen by all routers
   * at the same time.
   */
  private static final double SAFETY_FACTOR = 0.85;

  /**
   * Fraction of the budget that only retries may use: a request without its retry fails, one
   * without a hedge is only slower.
   */
  private static final double RETRY_RESERVE_FRACTION = 0.25;

  private final ExtraAttemptRules rules;
  private final SlidingWindowCounter requests;
  private final SlidingWindowCounter extras;

  ServiceBudget(ExtraAttemptRules rules) {
    this.rules = rules;
    this.requests = new SlidingWindowCounter(rules.window().toNanos());
    this.extras = new SlidingWindowCounter(rules.window().toNanos());
  }

  void onRequest(long nowNanos) {
    requests.add(nowNanos);
  }

  /** Whether the window that ends now has neither requests nor extra attempts. */
  boolean isUnused(long nowNanos) {
    return requests.count(nowNanos) == 0 && extras.count(nowNanos) == 0;
  }

  /** Extra attempts left in the window that ends now; may be fractional or negative. */
  double left(double share, long nowNanos) {
    return total(share, nowNanos) - extras.count(nowNanos);
  }

  boolean tryRetry(double share, long nowNanos) {
    return take(left(share, nowNanos), nowNanos);
  }

  boolean tryHedge(double share, long nowNanos) {
    double kept = RETRY_RESERVE_FRACTION * total(share, nowNanos);
    return take(left(share, nowNanos) - kept, nowNanos);
  }

  private double total(double share, long nowNanos) {
    return SAFETY_FACTOR * (rules.ratio() * requests.count(nowNanos) + share);
  }

  private boolean take(double left, long nowNanos) {
    if (left < 1) {
      return false;
    }
    extras.add(nowNanos);
    return true;
  }
}

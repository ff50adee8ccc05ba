package io.arrowarch.core.forward;

/**
 * This router's part of the extra attempts that a service may get in any window: the ratio of its
 * own requests, and an even share of the allowance.
 */
final class ServiceBudget {
  /** Counts of routers and arrivals are seen a moment apart by the routers. */
  private static final double SAFETY = 0.85;

  /** Hedges leave this part to retries, without which a request would fail. */
  private static final double KEPT_FOR_RETRIES = 0.25;

  private final ExtraAttemptRules rules;
  private final SlidingCount requests;
  private final SlidingCount extras;

  ServiceBudget(ExtraAttemptRules rules) {
    this.rules = rules;
    this.requests = new SlidingCount(rules.window().toNanos());
    this.extras = new SlidingCount(rules.window().toNanos());
  }

  void onRequest(long nowNanos) {
    requests.add(nowNanos);
  }

  /** Extra attempts left in the window that ends now. */
  double left(double share, long nowNanos) {
    return total(share, nowNanos) - extras.count(nowNanos);
  }

  boolean tryRetry(double share, long nowNanos) {
    return take(left(share, nowNanos), nowNanos);
  }

  boolean tryHedge(double share, long nowNanos) {
    double kept = KEPT_FOR_RETRIES * total(share, nowNanos);
    return take(left(share, nowNanos) - kept, nowNanos);
  }

  private double total(double share, long nowNanos) {
    return SAFETY * (rules.ratio() * requests.count(nowNanos) + share);
  }

  private boolean take(double left, long nowNanos) {
    if (left < 1) {
      return false;
    }
    extras.add(nowNanos);
    return true;
  }
}

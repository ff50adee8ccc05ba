package io.arrowarch.core.tenant;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Limits the tenants at this router alone while it reaches no counting router: each tenant has a
 * bucket that holds this router's part of what the limit allows within a window, but at least one
 * request. The bucket starts full and refills over a window, so that up to twice the part may run
 * within one window. The slack of the limit rules covers these single requests.
 */
final class FallbackLimiter {
  private static final double ONE = 1;

  private final LimitRules rules;
  private final Map<String, TokenBucket> buckets = new HashMap<>();

  FallbackLimiter(LimitRules rules) {
    this.rules = rules;
  }

  /**
   * Takes one request from this router's part if that allows it.
   *
   * @param share the part of the fleet that this router is, from 0 to 1
   * @return 0 if the request may run, else the nanoseconds until one may
   */
  long tryAcquire(String tenant, TenantLimit limit, double share, long nowNanos) {
    double capacity = Math.max(ONE, share * limit.within(rules.windowSeconds()));
    double rate = capacity / rules.windowSeconds();
    TokenBucket bucket =
        buckets.computeIfAbsent(
            tenant, name -> new TokenBucket(rate, capacity, capacity, nowNanos));
    bucket.reconfigure(rate, capacity, nowNanos);
    long refused = bucket.nanosUntil(ONE, nowNanos);
    if (refused == 0) {
      bucket.take(ONE, nowNanos);
    }
    return refused;
  }

  /** Removes the tenants that the predicate rejects. */
  void retain(Predicate<String> tenants) {
    buckets.keySet().removeIf(tenants.negate());
  }
}

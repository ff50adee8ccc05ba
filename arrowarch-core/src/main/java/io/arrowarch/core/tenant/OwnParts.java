package io.arrowarch.core.tenant;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What this router lets run of each tenant while it reaches no router that counts it: its own part
 * of what a window allows, one request at least, for which the slack pays.
 */
final class OwnParts {
  private static final double ONE = 1;

  private final LimitRules rules;
  private final Map<String, TokenBucket> buckets = new HashMap<>();

  OwnParts(LimitRules rules) {
    this.rules = rules;
  }

  /**
   * Lets one request run, if this router's part allows it.
   *
   * @param share of the fleet that this router is, from 0 to 1
   * @return 0 when it may run, else for how long it would be refused
   */
  long refusedNanos(String tenant, TenantLimit limit, double share, long nowNanos) {
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

  /** Forgets the other tenants. */
  void retain(Predicate<String> tenants) {
    buckets.keySet().removeIf(tenants.negate());
  }
}

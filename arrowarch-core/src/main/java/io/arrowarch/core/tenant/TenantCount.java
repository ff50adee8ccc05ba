package io.arrowarch.core.tenant;

import java.util.HashMap;
import java.util.Map;

/**
 * What one tenant has used of its limit, as the router that counts it knows. Requests that ran
 * before this router heard of them are paid from the limit, then from the tolerance, and only what
 * is beyond both is owed.
 */
final class TenantCount {
  /** Of the tolerance for lateness; the rest is kept for a change of the counting router. */
  private static final double LATENESS_FRACTION = 0.5;

  /** What a router that begins to count may allow beyond what an earlier one has allowed. */
  private static final double FRESH_FRACTION = 0.4;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double SECOND = 1;

  /** One request is within the limit while so much is left. */
  private static final double ONE = 1;

  private final LimitRules rules;
  private final TokenBucket allowed;
  private final TokenBucket tolerated;
  private final Map<String, Reported> routers = new HashMap<>();
  private TenantLimit limit;
  private double share;
  private long promisedNanos;
  private boolean near;

  /** What one incarnation of a router has told. */
  private record Reported(long incarnation, long number, long total) {}

  /**
   * Begins to count.
   *
   * @param share of the fleet that this router can count for, from 0 to 1
   */
  TenantCount(LimitRules rules, TenantLimit limit, double share, long nowNanos) {
    this.rules = rules;
    this.limit = limit;
    this.share = share;
    double fresh = Math.min(capacity(), Math.max(ONE, FRESH_FRACTION * tolerance()));
    this.allowed = new TokenBucket(rate(), capacity(), fresh, nowNanos);
    this.tolerated = new TokenBucket(toleratedRate(), tolerance(), tolerance(), nowNanos);
    this.promisedNanos = nowNanos;
  }

  /** Takes another limit or share; what is held beyond the new capacity is lost. */
  void reconfigure(TenantLimit changedLimit, double changedShare, long nowNanos) {
    if (changedLimit.equals(limit) && changedShare == share) {
      return;
    }
    limit = changedLimit;
    share = changedShare;
    allowed.reconfigure(rate(), capacity(), nowNanos);
    tolerated.reconfigure(toleratedRate(), tolerance(), nowNanos);
  }

  /**
   * Takes what a router tells; a message that is older than one taken before says nothing.
   *
   * @param number of the message, rises within an incarnation
   * @param total used there since its start
   * @param unacknowledged of these, what no counting router has acknowledged
   */
  void onUse(
      String router,
      long incarnation,
      long number,
      long total,
      long unacknowledged,
      long nowNanos) {
    Reported known = routers.get(router);
    boolean same = known != null && known.incarnation() == incarnation;
    if (same && known.number() >= number) {
      return;
    }
    routers.put(router, new Reported(incarnation, number, total));
    long news = same ? total - known.total() : unacknowledged;
    charge((double) news, nowNanos);
  }

  /** Lets one more request of a router run, if the limit allows it. */
  boolean grant(String router, long nowNanos) {
    if (allowed.tokens(nowNanos) < ONE) {
      return false;
    }
    allowed.take(ONE, nowNanos);
    Reported known = routers.get(router);
    if (known != null) {
      routers.put(router, new Reported(known.incarnation(), known.number(), known.total() + 1));
    }
    return true;
  }

  /** For how long every request would be beyond the limit. */
  long refusedNanos(long nowNanos) {
    return allowed.nanosUntil(ONE, nowNanos);
  }

  /**
   * When a caller that was refused should come back: each gets the moment of one more request of
   * the limit, so that they do not come back together.
   */
  long promiseNanos(long nowNanos) {
    long first = nowNanos + refusedNanos(nowNanos);
    long next = promisedNanos + (long) (NANOS_PER_SECOND / rate());
    promisedNanos = Math.min(Math.max(first, next), nowNanos + rules.window().toNanos());
    return promisedNanos - nowNanos;
  }

  /** Whether each request is to be asked for; goes on until half of the burst is there again. */
  boolean isNearLimit(long nowNanos) {
    double left = allowed.tokens(nowNanos);
    if (left < ONE) {
      near = true;
    } else if (left >= Math.max(ONE, capacity() / 2)) {
      near = false;
    }
    return near;
  }

  /** What is left of the limit, for operators. */
  double left(long nowNanos) {
    return allowed.tokens(nowNanos);
  }

  private void charge(double count, long nowNanos) {
    if (count <= 0) {
      allowed.take(count, nowNanos);
      return;
    }
    double fromLimit = Math.min(count, Math.max(0, allowed.tokens(nowNanos)));
    double rest = count - fromLimit;
    double fromTolerance = Math.min(rest, Math.max(0, tolerated.tokens(nowNanos)));
    tolerated.take(fromTolerance, nowNanos);
    allowed.take(count - fromTolerance, nowNanos);
  }

  /**
   * Of a part of the fleet: its part of the limit with the tolerance, at most the whole limit.
   * Parts that cannot reach each other then stay within both together.
   */
  private double scale() {
    double within = limit.within(rules.windowSeconds());
    return Math.min(
        1, share * (within + rules.tolerance(limit)) / (within + limit.ratePerSecond()));
  }

  private double rate() {
    return scale() * limit.ratePerSecond();
  }

  /** The burst, beside the requests of one second. */
  private double capacity() {
    return Math.max(ONE, scale() * (limit.burst() + SECOND * limit.ratePerSecond()));
  }

  private double tolerance() {
    double beyond = rules.tolerance(limit) - SECOND * limit.ratePerSecond();
    return Math.max(0, LATENESS_FRACTION * share * beyond);
  }

  private double toleratedRate() {
    return tolerance() / rules.windowSeconds();
  }
}

package io.arrowarch.core.tenant;

import java.util.HashMap;
import java.util.Map;

/**
 * What one tenant has used of its limit, as known to the router that counts it. Requests that ran
 * before this router received the report of them are charged to the limit first and to the
 * tolerance next; only what exceeds both overdraws the limit.
 */
final class TenantCount {
  /**
   * Fraction that is granted to requests that are reported late, of the tolerance less the requests
   * of one second. The rest is reserved for a change of the counting router.
   */
  private static final double LATE_REPORT_FRACTION = 0.5;

  /**
   * Fraction of the tolerance for late reports that a router grants when it starts to count, in
   * addition to what an earlier counting router granted.
   */
  private static final double INITIAL_FRACTION = 0.4;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double ONE_SECOND = 1;

  /** A request is within the limit while at least this many tokens are left. */
  private static final double ONE = 1;

  private final LimitRules rules;
  private final TokenBucket allowed;
  private final TokenBucket tolerated;
  private final Map<String, Reported> routers = new HashMap<>();
  private TenantLimit limit;
  private double share;
  private long lastRetryNanos;
  private boolean nearLimit;

  /** The newest report from one incarnation of a router. */
  private record Reported(long incarnation, long number, long total) {}

  /**
   * Starts to count.
   *
   * @param share the part of the fleet that this router counts for, from 0 to 1
   */
  TenantCount(LimitRules rules, TenantLimit limit, double share, long nowNanos) {
    this.rules = rules;
    this.limit = limit;
    this.share = share;
    double initialTokens = Math.min(capacity(), Math.max(ONE, INITIAL_FRACTION * tolerance()));
    this.allowed = new TokenBucket(rate(), capacity(), initialTokens, nowNanos);
    this.tolerated = new TokenBucket(toleratedRate(), tolerance(), tolerance(), nowNanos);
    this.lastRetryNanos = nowNanos;
  }

  /** Changes the limit and the share; tokens beyond the new capacity are dropped. */
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
   * Charges what a router reports. A message is ignored unless its number is higher than that of
   * the last one received from the same incarnation.
   *
   * @param number number of the message; it rises within an incarnation
   * @param total requests that ran at that router since its start
   * @param unacknowledged those of {@code total} that no counting router has acknowledged; charged
   *     on the first report of an incarnation
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
    long newlyReported = same ? total - known.total() : unacknowledged;
    charge((double) newlyReported, nowNanos);
  }

  /** Grants one more request of a router if the limit allows it. */
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

  /** Returns for how long every request would exceed the limit. */
  long refusedNanos(long nowNanos) {
    return allowed.nanosUntil(ONE, nowNanos);
  }

  /**
   * Returns after what delay a refused caller should retry. Successive callers get delays that are
   * one request interval (1 / rate) apart, so that they do not all retry at once. The delay is at
   * most one window.
   */
  long reserveRetryDelayNanos(long nowNanos) {
    long first = nowNanos + refusedNanos(nowNanos);
    long next = lastRetryNanos + (long) (NANOS_PER_SECOND / rate());
    lastRetryNanos = Math.min(Math.max(first, next), nowNanos + rules.window().toNanos());
    return lastRetryNanos - nowNanos;
  }

  /**
   * Whether routers must ask the counting router about each request. Once that is so, it stays so
   * until half of the capacity is available again.
   */
  boolean isNearLimit(long nowNanos) {
    double left = allowed.tokens(nowNanos);
    if (left < ONE) {
      nearLimit = true;
    } else if (left >= Math.max(ONE, capacity() / 2)) {
      nearLimit = false;
    }
    return nearLimit;
  }

  /** Returns the tokens that are left of the limit, for log lines. */
  double remaining(long nowNanos) {
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
   * Returns the factor by which the limit is scaled for a part of the fleet: the part's share of
   * limit and tolerance, at most the whole limit. Parts that cannot reach each other then together
   * stay within limit and tolerance. Within a window an unscaled bucket grants what the limit
   * allows and, because of its capacity, the requests of one second more.
   */
  private double scale() {
    double within = limit.within(rules.windowSeconds());
    return Math.min(
        1, share * (within + rules.tolerance(limit)) / (within + limit.ratePerSecond()));
  }

  private double rate() {
    return scale() * limit.ratePerSecond();
  }

  /** The scaled burst and the requests of one second, but at least one request. */
  private double capacity() {
    return Math.max(ONE, scale() * (limit.burst() + ONE_SECOND * limit.ratePerSecond()));
  }

  private double tolerance() {
    double beyond = rules.tolerance(limit) - ONE_SECOND * limit.ratePerSecond();
    return Math.max(0, LATE_REPORT_FRACTION * share * beyond);
  }

  private double toleratedRate() {
    return tolerance() / rules.windowSeconds();
  }
}

package io.arrowarch.core.tenant;

import java.time.Duration;

/**
 * How many requests of one tenant ran at this router, and what the counting router has answered
 * about the tenant.
 */
final class TenantUsage {
  private long total;
  private long acknowledged;
  private long askUntilNanos;
  private long refusedUntilNanos;

  TenantUsage(long nowNanos) {
    askUntilNanos = nowNanos;
    refusedUntilNanos = nowNanos;
  }

  long total() {
    return total;
  }

  long unacknowledged() {
    return Math.max(0, total - acknowledged);
  }

  /** A request was admitted. */
  void onAdmitted() {
    total++;
  }

  /** An admitted request has not run and will not run. */
  void onRefunded() {
    total--;
  }

  /** A counting router has received a reported total. */
  void onAcknowledged(long reported) {
    acknowledged = Math.max(acknowledged, reported);
  }

  /** For this long, the counting router must be asked for each request. */
  void onNearLimit(Duration length, long nowNanos) {
    askUntilNanos = Math.max(askUntilNanos, nowNanos + length.toNanos());
  }

  /** For this long, every request would exceed the limit. */
  void onRefused(Duration length, long nowNanos) {
    refusedUntilNanos = nowNanos + length.toNanos();
  }

  boolean mustAsk(long nowNanos) {
    return nowNanos < askUntilNanos;
  }

  /**
   * Returns the nanoseconds for which every request is refused; 0 if the counting router may be
   * asked about requests.
   */
  long refusedNanos(long nowNanos) {
    return Math.max(0, refusedUntilNanos - nowNanos);
  }
}

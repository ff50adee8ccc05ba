package io.arrowarch.core.tenant;

import java.time.Duration;

/** What one tenant has used at this router, and what the counting router has said of it. */
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

  /** One more request runs. */
  void onAdmitted() {
    total++;
  }

  /** A request that was admitted has not run and will not. */
  void onReturned() {
    total--;
  }

  /** A counting router has taken a total. */
  void onAcknowledged(long reported) {
    acknowledged = Math.max(acknowledged, reported);
  }

  /** Each request is to be asked for, for so long. */
  void onNearLimit(Duration length, long nowNanos) {
    askUntilNanos = Math.max(askUntilNanos, nowNanos + length.toNanos());
  }

  /** Every request would be beyond the limit for so long. */
  void onRefused(Duration length, long nowNanos) {
    refusedUntilNanos = nowNanos + length.toNanos();
  }

  boolean mustAsk(long nowNanos) {
    return nowNanos < askUntilNanos;
  }

  /** Nanoseconds for which every request is refused; 0 when one may be asked for. */
  long refusedNanos(long nowNanos) {
    return Math.max(0, refusedUntilNanos - nowNanos);
  }
}

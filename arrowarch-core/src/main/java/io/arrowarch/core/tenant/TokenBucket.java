package io.arrowarch.core.tenant;

/** A count that fills at a rate up to a capacity, and may be overdrawn. */
final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double ratePerSecond;
  private double capacity;
  private double tokens;
  private long filledNanos;

  TokenBucket(double ratePerSecond, double capacity, double tokens, long nowNanos) {
    this.ratePerSecond = ratePerSecond;
    this.capacity = capacity;
    this.tokens = tokens;
    this.filledNanos = nowNanos;
  }

  /** Takes another rate and capacity; what is held beyond the capacity is lost. */
  void reconfigure(double changedRate, double changedCapacity, long nowNanos) {
    fill(nowNanos);
    ratePerSecond = changedRate;
    capacity = changedCapacity;
    tokens = Math.min(tokens, capacity);
  }

  double tokens(long nowNanos) {
    fill(nowNanos);
    return tokens;
  }

  /** Takes this many tokens, or gives them back when negative. */
  void take(double count, long nowNanos) {
    fill(nowNanos);
    tokens = Math.min(capacity, tokens - count);
  }

  /** Nanoseconds until this many tokens are there; 0 when they are. */
  long nanosUntil(double count, long nowNanos) {
    double missing = count - tokens(nowNanos);
    return missing <= 0 ? 0 : (long) Math.ceil(missing / ratePerSecond * NANOS_PER_SECOND);
  }

  private void fill(long nowNanos) {
    double seconds = Math.max(0, nowNanos - filledNanos) / NANOS_PER_SECOND;
    tokens = Math.min(capacity, tokens + seconds * ratePerSecond);
    filledNanos = Math.max(filledNanos, nowNanos);
  }
}

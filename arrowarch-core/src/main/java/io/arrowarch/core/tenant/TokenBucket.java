package io.arrowarch.core.tenant;

/** A token bucket whose count may become negative. */
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

  /** Changes the rate and the capacity; tokens beyond the new capacity are dropped. */
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

  /** Takes this many tokens, even if there are fewer; a negative count returns tokens. */
  void take(double count, long nowNanos) {
    fill(nowNanos);
    tokens = Math.min(capacity, tokens - count);
  }

  /** Returns the nanoseconds until this many tokens are available; 0 if they are now. */
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

package io.arrowarch.core.tenant;

/**
 * A tenant's rate limit over all routers together.
 *
 * @param ratePerSecond requests per second in the long run
 * @param burst requests that may arrive at once in addition
 */
public record TenantLimit(double ratePerSecond, double burst) {
  public TenantLimit {
    if (!(ratePerSecond > 0) || !(burst >= 0)) {
      throw new IllegalArgumentException(
          "ratePerSecond must be above 0 and burst must not be negative");
    }
  }

  /** Returns how many requests the limit allows within a window of this many seconds. */
  double within(double seconds) {
    return ratePerSecond * seconds + burst;
  }
}

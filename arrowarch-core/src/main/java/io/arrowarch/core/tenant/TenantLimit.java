package io.arrowarch.core.tenant;

/**
 * How much a tenant may ask of all routers together.
 *
 * @param ratePerSecond requests a second in the long run
 * @param burst requests that may come at once beside that
 */
public record TenantLimit(double ratePerSecond, double burst) {
  public TenantLimit {
    if (!(ratePerSecond > 0) || !(burst >= 0)) {
      throw new IllegalArgumentException("a limit needs a rate above 0 and no negative burst");
    }
  }

  /** What the limit allows within a window of this many seconds. */
  double within(double seconds) {
    return ratePerSecond * seconds + burst;
  }
}

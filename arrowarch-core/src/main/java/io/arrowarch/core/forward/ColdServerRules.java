package io.arrowarch.core.forward;

/**
 * How far all routers together may exceed the request rate configured for a cold server.
 *
 * @param overshoot factor by which the configured rate is multiplied
 * @param slack requests per second added to the product
 */
public record ColdServerRules(double overshoot, double slack) {
  /** Allows exactly the configured rate. */
  public static final ColdServerRules EXACT = new ColdServerRules(1, 0);

  public ColdServerRules {
    if (!(overshoot >= 0) || !(slack >= 0)) {
      throw new IllegalArgumentException("overshoot and slack of cold servers must be 0 or more");
    }
  }

  /** The most requests that a cold server may get in any second. */
  double maxRequestsPerSecond(double rate) {
    return rate * overshoot + slack;
  }
}

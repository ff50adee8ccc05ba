package io.arrowarch.core.forward;

/**
 * By how much all routers together may go beyond the requests a second that a cold server bears.
 *
 * @param overshoot multiple of the rate that the configuration tells of a service
 * @param slack requests a second beside that
 */
public record ColdServerRules(double overshoot, double slack) {
  /** Where no bound is told: the rate itself. */
  public static final ColdServerRules EXACT = new ColdServerRules(1, 0);

  public ColdServerRules {
    if (!(overshoot >= 0) || !(slack >= 0)) {
      throw new IllegalArgumentException("a bound of cold servers is below 0");
    }
  }

  /** Requests that a cold server may get in any second. */
  double mostInASecond(double rate) {
    return rate * overshoot + slack;
  }
}

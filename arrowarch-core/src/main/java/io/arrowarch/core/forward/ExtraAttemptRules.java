package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * How many attempts after the first of each request a service may get from all routers together.
 *
 * @param ratio extra attempts for each request, within a window
 * @param allowance extra attempts in each window beside those
 */
public record ExtraAttemptRules(double ratio, double allowance, Duration window) {
  public ExtraAttemptRules {
    if (!(ratio >= 0 && ratio <= 1)) {
      throw new IllegalArgumentException("the ratio of extra attempts is not from 0 to 1");
    }
    if (!(allowance >= 0)) {
      throw new IllegalArgumentException("the allowance of extra attempts is below 0");
    }
    if (window.isZero()) {
      throw new IllegalArgumentException("the window of extra attempts is 0");
    }
  }
}

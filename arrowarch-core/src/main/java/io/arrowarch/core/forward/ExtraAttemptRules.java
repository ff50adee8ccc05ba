package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * Limits of extra attempts, those after the first, that all routers together may send to a service.
 *
 * @param ratio extra attempts per request within a window, from 0 to 1
 * @param allowance further extra attempts per window, independent of the number of requests
 * @param window length of the sliding window; not zero
 */
public record ExtraAttemptRules(double ratio, double allowance, Duration window) {
  public ExtraAttemptRules {
    if (!(ratio >= 0 && ratio <= 1)) {
      throw new IllegalArgumentException(
          "the ratio of extra attempts must be from 0 to 1, but is " + ratio);
    }
    if (!(allowance >= 0)) {
      throw new IllegalArgumentException(
          "the allowance of extra attempts must not be negative, but is " + allowance);
    }
    if (window.isZero()) {
      throw new IllegalArgumentException("the window of extra attempts must not be 0");
    }
  }
}

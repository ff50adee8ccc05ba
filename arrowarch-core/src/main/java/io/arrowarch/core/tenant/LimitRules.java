package io.arrowarch.core.tenant;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * By how much the requests of a tenant that run at all routers together may exceed its limit.
 *
 * @param window length of the periods in each of which the excess is bounded
 * @param overshoot allowed excess, as a fraction of what the limit allows within a window
 * @param slack further requests that are allowed within a window
 */
public record LimitRules(Duration window, double overshoot, double slack) {
  private static final double NANOS_PER_SECOND = 1e9;

  public LimitRules {
    requireNonNull(window, "window is null");
  }

  double windowSeconds() {
    return window.toNanos() / NANOS_PER_SECOND;
  }

  /** Returns how many requests beyond a limit may run within a window. */
  double tolerance(TenantLimit limit) {
    return overshoot * limit.within(windowSeconds()) + slack;
  }
}

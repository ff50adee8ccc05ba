package io.arrowarch.core.tenant;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * By how much the requests of a tenant that run over all routers may go beyond its limit.
 *
 * @param window every span of this length counts
 * @param overshoot part of what the limit allows within a window
 * @param slack requests within a window beside that
 */
public record LimitRules(Duration window, double overshoot, double slack) {
  private static final double NANOS_PER_SECOND = 1e9;

  public LimitRules {
    requireNonNull(window, "window is null");
  }

  double windowSeconds() {
    return window.toNanos() / NANOS_PER_SECOND;
  }

  /** Requests within a window that may run beyond what a limit allows. */
  double tolerance(TenantLimit limit) {
    return overshoot * limit.within(windowSeconds()) + slack;
  }
}

package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * How many attempts after the first of each request a service may get from all routers together.
 *
 * @param ratio extra attempts for each request, within a window
 * @param allowance extra attempts in each window beside those
 */
public record ExtraAttemptRules(double ratio, double allowance, Duration window) {}

package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * What the owner of a coordinator sets.
 *
 * @param zone where the router runs
 * @param maximumRequests requests in progress above which new ones are refused
 * @param extraAttempts bounds of hedges and retries over all routers
 * @param defaultTimeLeft how long a caller is taken to wait that does not say it
 */
public record ForwardOptions(
    String zone, int maximumRequests, ExtraAttemptRules extraAttempts, Duration defaultTimeLeft) {}

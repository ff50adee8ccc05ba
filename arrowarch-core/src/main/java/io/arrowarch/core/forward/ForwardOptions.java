package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.feed.FeedBounds;
import java.time.Duration;

/**
 * What the owner of a coordinator sets.
 *
 * @param id of the router
 * @param zone where the router runs
 * @param cores how much processor the router has, in cores
 * @param maximumRequests requests in progress above which new ones are refused
 * @param extraAttempts bounds of hedges and retries over all routers
 * @param defaultTimeLeft how long a caller is taken to wait that does not say it
 * @param store within what time the store must be followed
 * @param without mechanisms that are left out, for experiments only
 */
public record ForwardOptions(
    String id,
    String zone,
    double cores,
    int maximumRequests,
    ExtraAttemptRules extraAttempts,
    Duration defaultTimeLeft,
    FeedBounds store,
    ImmutableSet<Mechanism> without) {

  /** Whether a mechanism is in use. */
  public boolean has(Mechanism mechanism) {
    return !without.contains(mechanism);
  }
}

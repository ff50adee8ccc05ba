package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.feed.FeedBounds;
import io.arrowarch.core.tenant.TenantRules;
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
 * @param coldServers bounds of what cold servers get from all routers together
 * @param regions the region of each zone
 * @param tenants what binds requests of tenants
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
    ColdServerRules coldServers,
    ImmutableMap<String, String> regions,
    TenantRules tenants,
    ImmutableSet<Mechanism> without) {

  /** Whether a zone is one in which the servers of a route may be. */
  boolean allows(ImmutableSet<String> routeRegions, String serverZone) {
    return routeRegions.isEmpty() || routeRegions.contains(regions.get(serverZone));
  }

  /** Whether a mechanism is in use. */
  public boolean has(Mechanism mechanism) {
    return !without.contains(mechanism);
  }
}

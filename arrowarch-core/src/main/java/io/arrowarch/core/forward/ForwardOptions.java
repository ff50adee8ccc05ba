package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.feed.FeedBounds;
import io.arrowarch.core.tenant.TenantRules;
import java.time.Duration;

/**
 * Options of a {@link ForwardCoordinator}.
 *
 * @param id id of the router
 * @param zone zone that the router runs in
 * @param cores processor capacity of the router, in cores
 * @param maximumRequests maximum number of requests in progress; further ones are refused
 * @param extraAttempts limits of hedges and retries over all routers together
 * @param defaultTimeLeft time left assumed for a caller that does not state it
 * @param store time limits for following the store
 * @param coldServers limits of the load on cold servers from all routers together
 * @param regions region of each zone
 * @param tenants rules for requests of tenants
 * @param without mechanisms that are disabled, for experiments only
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

  /** Whether a route that is restricted to regions may use servers of a zone. */
  boolean allows(ImmutableSet<String> routeRegions, String serverZone) {
    return routeRegions.isEmpty() || routeRegions.contains(regions.get(serverZone));
  }

  /** Whether a mechanism is enabled. */
  public boolean has(Mechanism mechanism) {
    return !without.contains(mechanism);
  }
}

package io.arrowarch.core.forward;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import java.time.Duration;

/**
 * Parts of a search that one router hands to another, nearer to their servers.
 *
 * @param request as the caller sent it
 * @param version of the configuration by which it must be handled
 * @param shards of the parts
 * @param timeLeft how long the caller can be held
 * @param objectiveLeft how long an answer is in time; negative when it is late already
 */
public record DelegatedSearch(
    ForwardedRequest request,
    long version,
    ImmutableList<String> shards,
    Duration timeLeft,
    Duration objectiveLeft) {
  public DelegatedSearch {
    requireNonNull(request, "request is null");
    requireNonNull(shards, "shards is null");
    requireNonNull(timeLeft, "timeLeft is null");
    requireNonNull(objectiveLeft, "objectiveLeft is null");
  }

  /** Whether a route is a search of these shards and perhaps others. */
  boolean isOf(Route route) {
    return !shards.isEmpty()
        && route.target() instanceof RouteTarget.AllShards all
        && all.services().containsAll(shards);
  }

  /** Whether a route is a search of just these shards, so that all parts are of one version. */
  boolean isWhole(Route route) {
    return route.target() instanceof RouteTarget.AllShards all && all.services().equals(shards);
  }

  /** The route with no other shards than these, any of which will do. */
  Route narrow(Route route) {
    int limit = ((RouteTarget.AllShards) route.target()).limit();
    return new Route(
        route.name(),
        route.host(),
        route.pathPrefix(),
        route.repeatable(),
        route.timeout(),
        route.objective(),
        route.maximumAttempts(),
        route.priority(),
        new RouteTarget.AllShards(shards, limit, 0));
  }
}

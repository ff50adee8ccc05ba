package io.arrowarch.core.forward;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RoutingConfiguration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The states of the routes that were requested. The state of a route is dropped with the route;
 * requests in progress keep theirs.
 */
final class RouteStates {
  private final Map<String, RouteState> states = new HashMap<>();
  private final RandomGenerator random;

  RouteStates(RandomGenerator random) {
    this.random = random;
  }

  RouteState of(Route route) {
    return states.computeIfAbsent(keyOf(route), key -> new RouteState(random));
  }

  /** Drops the states of routes that the configuration does not have. */
  void reconfigure(RoutingConfiguration updated) {
    states
        .keySet()
        .retainAll(updated.routes().stream().map(RouteStates::keyOf).collect(toImmutableSet()));
  }

  int size() {
    return states.size();
  }

  private static String keyOf(Route route) {
    return route.host() + route.pathPrefix();
  }
}

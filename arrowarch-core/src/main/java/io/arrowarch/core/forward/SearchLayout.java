package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.route.ServiceSettings;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * What a configuration says of searches and of the connections that servers take, and what follows
 * for the routers together: whether each asks all servers itself, or some gather for the others.
 */
final class SearchLayout {
  /**
   * The part of a server's connections that routers use. The rest is for those that are being
   * opened or closed, and for what servers still hold of routers that have lost power.
   */
  private static final double USED_FRACTION = 2.0 / 3;

  /** Of a service whose settings say nothing. */
  private static final int DEFAULT_CONNECTIONS = 16;

  /** With fewer connections to a server a router often waits for one, or goes elsewhere. */
  private static final int WANTED_CONNECTIONS = 2;

  /** What is gathered outlives the loss of a router. */
  private static final int FEWEST_GATHERERS = 2;

  /**
   * Parts of one search that one router gathers at most. A part costs it 0.1 ms when its code is
   * compiled (docs/rounds/farmbru.md), so that so many take a quarter of the tightest objective.
   */
  private static final int WIDEST_GROUP = 150;

  private final IntSupplier routers;
  private final boolean mayGather;
  private final Map<String, Integer> connections = new HashMap<>();
  private final Map<String, ImmutableList<String>> groupOfShard = new HashMap<>();

  /**
   * Creates a layout of no configuration.
   *
   * @param routers how many routers share servers
   * @param mayGather whether some routers may gather for the others
   */
  SearchLayout(IntSupplier routers, boolean mayGather) {
    this.routers = routers;
    this.mayGather = mayGather;
  }

  void reconfigure(RoutingConfiguration updated) {
    connections.clear();
    for (ServiceSettings service : updated.services().values()) {
      connections.put(service.name(), service.maximumConnections());
    }
    groupOfShard.clear();
    for (Route route : updated.routes()) {
      if (route.target() instanceof RouteTarget.AllShards search) {
        for (ImmutableList<String> group : groups(search.services())) {
          group.forEach(shard -> groupOfShard.put(shard, group));
        }
      }
    }
  }

  /** The groups of a search's shards, each of which one router can gather. */
  static ImmutableList<ImmutableList<String>> groups(ImmutableList<String> shards) {
    int count = (shards.size() + WIDEST_GROUP - 1) / WIDEST_GROUP;
    return ShardGroups.split(shards, count);
  }

  /** The group that a shard is gathered with; empty for a service that is no shard. */
  ImmutableList<String> groupOf(String shard) {
    return groupOfShard.getOrDefault(shard, ImmutableList.of());
  }

  /** Whether a shard's servers have too few connections for every router to ask them itself. */
  boolean isGathered(String service) {
    return mayGather
        && groupOfShard.containsKey(service)
        && Math.round(WANTED_CONNECTIONS * routers.getAsInt() / used(service)) > 1;
  }

  /** The groups of shards that some routers gather for the others. */
  ImmutableSet<ImmutableList<String>> gatheredGroups() {
    return groupOfShard.values().stream()
        .filter(group -> isGathered(group.get(0)))
        .collect(ImmutableSet.toImmutableSet());
  }

  /** How many routers have enough connections to a shard's servers to gather it. */
  int gatherersAllowed(String shard) {
    return Math.max(FEWEST_GATHERERS, (int) (used(shard) / WANTED_CONNECTIONS));
  }

  /** Connections that all routers together use at one server of a service; 1 at least. */
  double used(String service) {
    return Math.max(1, USED_FRACTION * connections.getOrDefault(service, DEFAULT_CONNECTIONS));
  }
}

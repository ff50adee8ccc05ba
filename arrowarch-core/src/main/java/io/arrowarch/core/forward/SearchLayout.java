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
 * Decides, from the searches and connection limits of a configuration, whether every router queries
 * all servers itself or some routers gather for the others.
 */
final class SearchLayout {
  /**
   * The fraction of a server's connections that routers use. The rest is for connections that are
   * being opened or closed, and for those that servers still hold open to routers that lost power.
   */
  private static final double USED_FRACTION = 2.0 / 3;

  /** The connection limit of a server whose service has no settings. */
  private static final int DEFAULT_CONNECTIONS = 16;

  /**
   * Connections that a router needs at one server. With fewer it often waits for a free one or uses
   * another server.
   */
  private static final int CONNECTIONS_PER_ROUTER = 2;

  /** Gathering must survive the loss of a router. */
  private static final int MINIMUM_GATHERERS = 2;

  /**
   * The most parts of one search that one router gathers. A part takes 0.1 ms of its time once its
   * code is compiled, so that this many take 15 ms, a quarter of the tightest objective (60 ms).
   */
  private static final int MAXIMUM_GROUP_SIZE = 150;

  private final IntSupplier routers;
  private final boolean mayGather;
  private final Map<String, Integer> connections = new HashMap<>();
  private final Map<String, ImmutableList<String>> groupOfShard = new HashMap<>();

  /**
   * Creates a layout without a configuration.
   *
   * @param routers number of routers that share the servers
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

  /** Splits the shards of a search into groups that one router can gather. */
  static ImmutableList<ImmutableList<String>> groups(ImmutableList<String> shards) {
    int count = (shards.size() + MAXIMUM_GROUP_SIZE - 1) / MAXIMUM_GROUP_SIZE;
    return ShardGroups.split(shards, count);
  }

  /** The group that contains a shard; empty for a service that is not a shard. */
  ImmutableList<String> groupOf(String shard) {
    return groupOfShard.getOrDefault(shard, ImmutableList.of());
  }

  /**
   * Whether a shard's servers accept too few connections for every router to query them itself. The
   * connections needed must be at least 1.5 times those that are usable; a smaller shortage counts
   * as enough.
   */
  boolean isGathered(String service) {
    return mayGather
        && groupOfShard.containsKey(service)
        && Math.round(CONNECTIONS_PER_ROUTER * routers.getAsInt() / usedConnections(service)) > 1;
  }

  /** The groups of shards that some routers gather for the others. */
  ImmutableSet<ImmutableList<String>> gatheredGroups() {
    return groupOfShard.values().stream()
        .filter(group -> isGathered(group.get(0)))
        .collect(ImmutableSet.toImmutableSet());
  }

  /** The number of routers that can gather a shard within its servers' connections; at least 2. */
  int gatherersAllowed(String shard) {
    return Math.max(MINIMUM_GATHERERS, (int) (usedConnections(shard) / CONNECTIONS_PER_ROUTER));
  }

  /** Connections that all routers together use at one server of a service; at least 1. */
  double usedConnections(String service) {
    return Math.max(1, USED_FRACTION * connections.getOrDefault(service, DEFAULT_CONNECTIONS));
  }
}

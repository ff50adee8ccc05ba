package io.arrowarch.core.forward;

import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.route.ServiceSettings;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/** How routers share the connections that servers take. */
final class ConnectionShares {
  /**
   * The part of a server's connections that routers use. The rest is for those that are being
   * opened or closed, and for what servers still hold of routers that have lost power.
   */
  private static final double USED_FRACTION = 2.0 / 3;

  /** A router that has just started takes half: servers may hold connections of its last life. */
  private static final int YOUNG_DIVISOR = 2;

  private static final int DEFAULT_CONNECTIONS = 16;

  /** More attempts at one server would only wait there. */
  private static final int MAXIMUM_OPEN = 8;

  private final IntSupplier routers;
  private final BooleanSupplier young;
  private final boolean mayGroup;
  private final Map<String, Integer> connections = new HashMap<>();

  /** Of services that are shards: how many shards their narrowest search has. */
  private final Map<String, Integer> widths = new HashMap<>();

  /**
   * Creates shares for no configuration.
   *
   * @param routers how many share servers
   * @param young whether this router has just started
   * @param mayGroup whether routers may be divided into groups, each of which uses some servers
   */
  ConnectionShares(IntSupplier routers, BooleanSupplier young, boolean mayGroup) {
    this.routers = routers;
    this.young = young;
    this.mayGroup = mayGroup;
  }

  void reconfigure(RoutingConfiguration updated) {
    connections.clear();
    for (ServiceSettings service : updated.services().values()) {
      connections.put(service.name(), service.maximumConnections());
    }
    widths.clear();
    for (Route route : updated.routes()) {
      if (route.target() instanceof RouteTarget.AllShards search) {
        int width = search.services().size();
        search.services().forEach(shard -> widths.merge(shard, width, Math::min));
      }
    }
  }

  /** Attempts that this router may have open at one server of a service. */
  int share(String service) {
    double sharing = (double) routers.getAsInt() / groups(service);
    double share = used(service) / Math.max(1, sharing);
    if (young.getAsBoolean()) {
      share /= YOUNG_DIVISOR;
    }
    return Math.max(1, Math.min(MAXIMUM_OPEN, (int) share));
  }

  /** Among how many groups of routers the shards of a search are divided, by one of them. */
  int groups(String shard) {
    Integer width = widths.get(shard);
    return mayGroup && width != null
        ? ShardGroups.count(width, used(shard), routers.getAsInt())
        : 1;
  }

  private double used(String service) {
    return USED_FRACTION * connections.getOrDefault(service, DEFAULT_CONNECTIONS);
  }
}

package io.arrowarch.core.route;

import com.google.common.collect.ImmutableList;

/** Where the requests of a route go. */
public sealed interface RouteTarget {
  /** One server of one service, which is drawn at random in proportion to the weights. */
  record OneServer(ImmutableList<WeightedService> services) implements RouteTarget {
    public OneServer {
      if (services.isEmpty()) {
        throw new IllegalArgumentException("route has no service");
      }
    }
  }

  /**
   * One server of each shard; every shard is a service of its own.
   *
   * @param limit the most records in the merged answer
   * @param minimumCoverage the fraction of the shards that an answer must cover, from 0 to 1
   */
  record AllShards(ImmutableList<String> services, int limit, double minimumCoverage)
      implements RouteTarget {
    private static final double ROUNDING = 1e-9;

    public AllShards {
      if (services.isEmpty()) {
        throw new IllegalArgumentException("search has no shard");
      }
    }

    /** The smallest number of shards that an answer must cover; at least 1. */
    public int minimumParts() {
      return Math.max(1, (int) Math.ceil(minimumCoverage * services.size() - ROUNDING));
    }
  }

  /**
   * A service of a weighted route.
   *
   * @param weight share of the requests relative to the route's other services; 0 for none
   */
  record WeightedService(String service, double weight) {}
}

package io.arrowarch.core.route;

import com.google.common.collect.ImmutableList;

/** Where the requests of a route go. */
public sealed interface RouteTarget {
  /** One server of one service; the service is drawn in proportion to the weights. */
  record OneServer(ImmutableList<WeightedService> services) implements RouteTarget {
    public OneServer {
      if (services.isEmpty()) {
        throw new IllegalArgumentException("a route needs a service");
      }
    }
  }

  /**
   * One server of each shard; every shard is a service of its own.
   *
   * @param limit the most records of the merged answer
   * @param minimumCoverage share of the shards that an answer needs, from 0 to 1
   */
  record AllShards(ImmutableList<String> services, int limit, double minimumCoverage)
      implements RouteTarget {
    private static final double ROUNDING = 1e-9;

    public AllShards {
      if (services.isEmpty()) {
        throw new IllegalArgumentException("a search needs a shard");
      }
    }

    /** The least number of shards that an answer may be drawn from; 1 at least. */
    public int minimumParts() {
      return Math.max(1, (int) Math.ceil(minimumCoverage * services.size() - ROUNDING));
    }
  }

  /**
   * A service of a weighted route.
   *
   * @param weight share of the requests relative to the other services of the route; 0 is none
   */
  record WeightedService(String service, double weight) {}
}

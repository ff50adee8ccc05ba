package io.arrowarch.core.server;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the server with the shortest estimated time to answer. */
public final class ServerChooser {
  /**
   * Cost of each request at a server, as a fraction of the expected length. Favours the less loaded
   * of two servers with free slots; several requests can outweigh a slower server.
   */
  private static final double LOAD_COST_FRACTION = 0.15;

  /**
   * Range of the random cost, as a fraction of the expected length; spreads load over servers of
   * equal cost.
   */
  private static final double RANDOM_COST_FRACTION = 0.1;

  private final String zone;
  private final RandomGenerator random;

  /** Creates a chooser for a router in a zone. */
  public ServerChooser(String zone, RandomGenerator random) {
    this.zone = zone;
    this.random = random;
  }

  /**
   * Chooses one of the given servers; empty if there are none.
   *
   * @param expectedNanos the usual length of an attempt of this kind
   * @param otherZonePenaltyNanos by how much a server of another zone must be faster to be chosen
   */
  public Optional<ServerState> choose(
      List<ServerState> servers, long expectedNanos, long otherZonePenaltyNanos, long nowNanos) {
    ServerState best = null;
    double least = Double.MAX_VALUE;
    for (ServerState server : servers) {
      boolean ownZone = server.entry().zone().equals(zone);
      double cost = cost(server, expectedNanos, nowNanos) + (ownZone ? 0 : otherZonePenaltyNanos);
      if (cost < least) {
        least = cost;
        best = server;
      }
    }
    return Optional.ofNullable(best);
  }

  /** The estimated time until a server would answer, in nanoseconds, with a random addition. */
  private double cost(ServerState server, long expectedNanos, long nowNanos) {
    double work = expectedNanos * server.slowness(nowNanos);
    double load = server.load(nowNanos);
    int slots = Math.max(1, server.entry().slots());
    double waiting = Math.max(0, load + 1 - slots) / slots;
    // A stalled server is likely to stay stalled for as long again.
    long stalled = server.stalledNanos(nowNanos);
    double stallCost = stalled == 0 ? 0 : 2.0 * expectedNanos + stalled;
    double loadAndRandomCost =
        expectedNanos * (LOAD_COST_FRACTION * load + RANDOM_COST_FRACTION * random.nextDouble());
    return work * (1 + waiting) + stallCost + loadAndRandomCost;
  }
}

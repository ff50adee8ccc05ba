package io.arrowarch.core.forward;

import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/** How routers share the connections that servers take, and the allowance of extra attempts. */
final class ConnectionShares {
  /** A router that has just started takes half: servers may hold connections of its last life. */
  private static final int YOUNG_DIVISOR = 2;

  /** With one connection to a server, searches that overlap would wait for each other. */
  private static final int FEWEST_OF_GATHERER = 2;

  /** More attempts at one server would only wait there. */
  private static final int MAXIMUM_OPEN = 8;

  /** Routers see a gatherer come or go a moment apart; so many more are taken to share. */
  private static final int UNSEEN_GATHERERS = 2;

  /** By how many times more routers may be there than one that has just started knows. */
  private static final int UNSEEN_WHILE_YOUNG = 8;

  private final SearchLayout layout;
  private final Gatherers gatherers;
  private final IntSupplier routers;
  private final BooleanSupplier young;

  /**
   * Creates shares.
   *
   * @param routers how many share servers
   * @param young whether this router has just started
   */
  ConnectionShares(
      SearchLayout layout, Gatherers gatherers, IntSupplier routers, BooleanSupplier young) {
    this.layout = layout;
    this.gatherers = gatherers;
    this.routers = routers;
    this.young = young;
  }

  /** Attempts that this router may have open at one server of a service. */
  int share(String service) {
    OptionalInt gathering =
        layout.isGathered(service) ? gatherers.primaryCount(service) : OptionalInt.empty();
    int sharers = gathering.orElse(Math.max(1, routers.getAsInt()));
    double share = layout.usedConnections(service) / sharers;
    if (young.getAsBoolean()) {
      share /= YOUNG_DIVISOR;
    }
    int fewest = gathering.isPresent() ? FEWEST_OF_GATHERER : 1;
    return Math.max(fewest, Math.min(MAXIMUM_OPEN, (int) share));
  }

  /**
   * The part of what a cold server of a service bears that is this router's, from 0 to 1. A router
   * that has just started may not have heard of most others.
   */
  double coldServerPart(String service) {
    OptionalInt gathering =
        layout.isGathered(service) ? gatherers.primaryCount(service) : OptionalInt.empty();
    int sharers =
        gathering.isPresent()
            ? gathering.getAsInt() + UNSEEN_GATHERERS
            : Math.max(1, routers.getAsInt());
    return 1.0 / (young.getAsBoolean() ? UNSEEN_WHILE_YOUNG * sharers : sharers);
  }

  /**
   * The part of a service's allowance of extra attempts that is this router's, from 0 to 1. Of a
   * shard that others gather it has none.
   */
  double allowancePart(String service) {
    if (!layout.isGathered(service)) {
      return 1.0 / Math.max(1, routers.getAsInt());
    }
    return gatherers.primaryCount(service).stream()
        .mapToDouble(primaryCount -> 1.0 / (primaryCount + UNSEEN_GATHERERS))
        .findFirst()
        .orElse(0);
  }
}

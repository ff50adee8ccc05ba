package io.arrowarch.core.forward;

import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * This router's share of the connections that servers accept, of the request rate allowed for cold
 * servers, and of the extra attempts allowed.
 */
final class ConnectionShares {
  /**
   * Reduces the share after a start: servers may still hold connections of this router's previous
   * incarnation.
   */
  private static final int RECENT_START_DIVISOR = 2;

  /** With one connection to a server, concurrent searches would wait for each other. */
  private static final int MIN_ATTEMPTS_OF_GATHERER = 2;

  /** More attempts at one server would only queue there. */
  private static final int MAX_OPEN_ATTEMPTS = 8;

  /**
   * Added to the known gatherers in the fractions of rates and allowances, since routers learn at
   * different times of a gatherer that comes or goes.
   */
  private static final int UNKNOWN_GATHERERS = 2;

  /** There may be this many times more routers than a recently started one has heard of. */
  private static final int RECENT_START_ROUTER_FACTOR = 8;

  private final SearchLayout layout;
  private final Gatherers gatherers;
  private final IntSupplier routers;
  private final BooleanSupplier recentlyStarted;

  /**
   * Creates the shares of one router.
   *
   * @param routers the number of routers that share the servers
   * @param recentlyStarted whether this router has started recently
   */
  ConnectionShares(
      SearchLayout layout,
      Gatherers gatherers,
      IntSupplier routers,
      BooleanSupplier recentlyStarted) {
    this.layout = layout;
    this.gatherers = gatherers;
    this.routers = routers;
    this.recentlyStarted = recentlyStarted;
  }

  /** How many attempts this router may have open at one server of a service. */
  int share(String service) {
    OptionalInt gathering =
        layout.isGathered(service) ? gatherers.primaryCount(service) : OptionalInt.empty();
    int sharers = gathering.orElse(Math.max(1, routers.getAsInt()));
    double share = layout.usedConnections(service) / sharers;
    if (recentlyStarted.getAsBoolean()) {
      share /= RECENT_START_DIVISOR;
    }
    int minimum = gathering.isPresent() ? MIN_ATTEMPTS_OF_GATHERER : 1;
    return Math.max(minimum, Math.min(MAX_OPEN_ATTEMPTS, (int) share));
  }

  /**
   * This router's fraction, from 0 to 1, of the request rate allowed for a cold server of a
   * service. The fraction is smaller for a recently started router, which may not have heard of
   * most others.
   */
  double coldServerFraction(String service) {
    OptionalInt gathering =
        layout.isGathered(service) ? gatherers.primaryCount(service) : OptionalInt.empty();
    int sharers =
        gathering.isPresent()
            ? gathering.getAsInt() + UNKNOWN_GATHERERS
            : Math.max(1, routers.getAsInt());
    return 1.0 / (recentlyStarted.getAsBoolean() ? RECENT_START_ROUTER_FACTOR * sharers : sharers);
  }

  /**
   * This router's fraction, from 0 to 1, of a service's allowance of extra attempts. It is 0 for a
   * shard whose parts other routers gather.
   */
  double allowanceFraction(String service) {
    if (!layout.isGathered(service)) {
      return 1.0 / Math.max(1, routers.getAsInt());
    }
    return gatherers.primaryCount(service).stream()
        .mapToDouble(primaryCount -> 1.0 / (primaryCount + UNKNOWN_GATHERERS))
        .findFirst()
        .orElse(0);
  }
}

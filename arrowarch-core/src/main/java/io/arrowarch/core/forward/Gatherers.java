package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * The routers that gather the parts of scatter-gather searches for other routers, as this router
 * sees them. Gatherers are in the zones of the shards' servers, so that one merged answer crosses
 * zones instead of every part. They are the larger machines of these zones. They are few, so that
 * their connections to the servers are reused often and their code is compiled.
 */
final class Gatherers {
  /**
   * A zone counts as near the servers if its share of the shards, from 0 to 1, is at most this much
   * below the best zone's. For a smaller difference the bytes saved are not worth the longer path.
   */
  private static final double COVERAGE_SLACK = 0.3;

  /**
   * A fraction, from 0 to 1, of the shards. A router that knows servers for a smaller fraction is
   * missing updates from the store. It leaves the gathering to any other router, which may know
   * more.
   */
  private static final double MINIMUM_KNOWN_SHARE = 0.5;

  /**
   * A machine with at least this fraction of the cores of the largest may be a primary gatherer.
   */
  private static final double PRIMARY_CORES_FRACTION = 0.6;

  /** How long a choice is cached; members and servers change slowly. */
  private static final Duration CACHE_LIFETIME = Duration.ofMillis(200);

  private final ForwardOptions options;
  private final RouterGroup routers;
  private final SearchLayout layout;
  private final ZoneCoverage coverage;
  private final RouterClock clock;
  private final Map<String, Choice> choices = new HashMap<>();
  private long chosenNanos = Long.MIN_VALUE;

  /**
   * The gatherers that this router would use for a group of shards.
   *
   * @param primary the primary gatherers that this router delegates to: the others of its own zone
   *     if that is near the servers, else those of all zones near the servers
   * @param backup the backup gatherers of the same zones, for when no primary one is available
   * @param ownRole whether this router is a gatherer of the group itself
   * @param primaryCount number of primary gatherers in all zones, at least 1
   */
  record Choice(
      ImmutableList<LiveRouter> primary,
      ImmutableList<LiveRouter> backup,
      OwnRole ownRole,
      int primaryCount) {}

  /** The role of this router for a group of shards. */
  enum OwnRole {
    /** Gathers the group for itself and for other routers. */
    PRIMARY,
    /** Gathers the group when no primary gatherer is available. */
    BACKUP,
    /** Delegates the group. */
    NONE
  }

  Gatherers(
      ForwardOptions options,
      RouterGroup routers,
      SearchLayout layout,
      ZoneCoverage coverage,
      RouterClock clock) {
    this.options = options;
    this.routers = routers;
    this.layout = layout;
    this.coverage = coverage;
    this.clock = clock;
  }

  /**
   * The number of routers that share the servers of a shard; empty unless this router is a primary
   * gatherer of it.
   */
  OptionalInt primaryCount(String shard) {
    Choice choice = of(layout.groupOf(shard));
    return choice.ownRole() == OwnRole.PRIMARY
        ? OptionalInt.of(choice.primaryCount())
        : OptionalInt.empty();
  }

  /** The gatherers of a group of shards. */
  Choice of(ImmutableList<String> group) {
    long nowNanos = clock.nanoTime();
    if (nowNanos - chosenNanos > CACHE_LIFETIME.toNanos()) {
      choices.clear();
      chosenNanos = nowNanos;
    }
    return choices.computeIfAbsent(group.get(0), shard -> choose(group, nowNanos));
  }

  private Choice choose(ImmutableList<String> group, long nowNanos) {
    Map<String, List<LiveRouter>> byZone = routersByZone();
    boolean knowsTooFewShards = coverage.known(group, nowNanos) < MINIMUM_KNOWN_SHARE;
    List<String> zones =
        knowsTooFewShards
            ? ImmutableList.copyOf(byZone.keySet())
            : zonesNearServers(group, byZone, nowNanos);
    double maximumCores = maximumCores(zones, byZone);
    int allowed = Math.max(1, layout.gatherersAllowed(group.get(0)) / zones.size());
    boolean isOwnZoneNear = !knowsTooFewShards && zones.contains(options.zone());
    List<LiveRouter> primary = new ArrayList<>();
    List<LiveRouter> backup = new ArrayList<>();
    OwnRole ownRole = OwnRole.NONE;
    int primaryCount = 0;
    for (String zone : zones) {
      ImmutableList<LiveRouter> ranked = ShardGroups.ranked(group, byZone.get(zone));
      boolean usedFromHere = !isOwnZoneNear || zone.equals(options.zone());
      for (LiveRouter router : ranked.subList(0, Math.min(allowed, ranked.size()))) {
        boolean isPrimary = router.cores() >= PRIMARY_CORES_FRACTION * maximumCores;
        primaryCount += isPrimary ? 1 : 0;
        if (router.id().equals(options.id())) {
          ownRole = isPrimary ? OwnRole.PRIMARY : OwnRole.BACKUP;
        } else if (usedFromHere) {
          (isPrimary ? primary : backup).add(router);
        }
      }
    }
    if (knowsTooFewShards && !primary.isEmpty()) {
      ownRole = OwnRole.NONE;
    }
    return new Choice(
        ImmutableList.copyOf(primary),
        ImmutableList.copyOf(backup),
        ownRole,
        Math.max(1, primaryCount));
  }

  private Map<String, List<LiveRouter>> routersByZone() {
    Map<String, List<LiveRouter>> byZone = new HashMap<>();
    for (LiveRouter router : routers.liveRouters()) {
      byZone.computeIfAbsent(router.zone(), zone -> new ArrayList<>()).add(router);
    }
    byZone.computeIfAbsent(options.zone(), zone -> new ArrayList<>()).add(self());
    return byZone;
  }

  private LiveRouter self() {
    return new LiveRouter(options.id(), 0, options.zone(), "", options.cores());
  }

  /**
   * The zones with routers whose share of the shards is within {@link #COVERAGE_SLACK} of the best
   * zone's.
   */
  private List<String> zonesNearServers(
      ImmutableList<String> group, Map<String, List<LiveRouter>> byZone, long nowNanos) {
    Map<String, Double> shares = new HashMap<>();
    double best = 0;
    for (String zone : byZone.keySet()) {
      double share = coverage.share(zone, group, nowNanos);
      shares.put(zone, share);
      best = Math.max(best, share);
    }
    List<String> near = new ArrayList<>();
    for (Map.Entry<String, Double> zone : shares.entrySet()) {
      if (zone.getValue() >= best - COVERAGE_SLACK) {
        near.add(zone.getKey());
      }
    }
    return near;
  }

  private static double maximumCores(List<String> zones, Map<String, List<LiveRouter>> byZone) {
    double maximumCores = 0;
    for (String zone : zones) {
      for (LiveRouter router : byZone.get(zone)) {
        maximumCores = Math.max(maximumCores, router.cores());
      }
    }
    return maximumCores;
  }
}

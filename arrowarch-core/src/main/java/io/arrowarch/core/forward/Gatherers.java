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
 * Which routers gather the parts of wide searches for the others, as this one sees it. They stand
 * in the zones where the shards have servers, so that one merged answer crosses between zones in
 * place of all parts; they are the larger machines there, and so few that their connections to the
 * servers are used often and their code is warm.
 */
final class Gatherers {
  /**
   * A zone is near the servers unless another has one of so many more of the shards, from 0 to 1.
   * With less between them the bytes saved are not worth the longer way (docs/rounds/large.md).
   */
  private static final double COVERAGE_SLACK = 0.3;

  /**
   * A router that knows servers of fewer of the shards misses news of the store: any other may know
   * more.
   */
  private static final double LEAST_KNOWN = 0.5;

  /** Machines of this part of the largest one's processor are as good. */
  private static final double NEARLY_LARGEST = 0.6;

  /** How long a choice holds; members and servers change slowly. */
  private static final Duration LIFE = Duration.ofMillis(200);

  private final ForwardOptions options;
  private final RouterGroup routers;
  private final SearchLayout layout;
  private final ZoneCoverage coverage;
  private final RouterClock clock;
  private final Map<String, Choice> choices = new HashMap<>();
  private long chosenNanos = Long.MIN_VALUE;

  /**
   * The gatherers of a group that this router would use.
   *
   * @param first the other routers to hand the group to
   * @param reserve where none of the first takes it
   * @param ownRole whether this router is one of them itself
   * @param sharing how many gatherers of first rank there are in all zones
   */
  record Choice(
      ImmutableList<LiveRouter> first,
      ImmutableList<LiveRouter> reserve,
      OwnRole ownRole,
      int sharing) {}

  /** What a router is for a group itself. */
  enum OwnRole {
    /** Gathers it for others and itself. */
    FIRST,
    /** Gathers it where no router of first rank can. */
    RESERVE,
    /** Hands it on. */
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

  /** How many routers share the servers of a shard, if this one gathers it. */
  OptionalInt sharing(String shard) {
    Choice choice = of(layout.groupOf(shard));
    return choice.ownRole() == OwnRole.FIRST
        ? OptionalInt.of(choice.sharing())
        : OptionalInt.empty();
  }

  /** The gatherers of a group of shards. */
  Choice of(ImmutableList<String> group) {
    long nowNanos = clock.nanoTime();
    if (nowNanos - chosenNanos > LIFE.toNanos()) {
      choices.clear();
      chosenNanos = nowNanos;
    }
    return choices.computeIfAbsent(group.get(0), shard -> choose(group, nowNanos));
  }

  private Choice choose(ImmutableList<String> group, long nowNanos) {
    Map<String, List<LiveRouter>> byZone = routersByZone();
    boolean blind = coverage.known(group, nowNanos) < LEAST_KNOWN;
    List<String> zones =
        blind ? ImmutableList.copyOf(byZone.keySet()) : zonesNearServers(group, byZone, nowNanos);
    double largest = largest(zones, byZone);
    int allowed = Math.max(1, layout.gatherersAllowed(group.get(0)) / zones.size());
    boolean near = !blind && zones.contains(options.zone());
    List<LiveRouter> first = new ArrayList<>();
    List<LiveRouter> reserve = new ArrayList<>();
    OwnRole ownRole = OwnRole.NONE;
    int sharing = 0;
    for (String zone : zones) {
      ImmutableList<LiveRouter> ranked = ShardGroups.ranked(group, byZone.get(zone));
      boolean usedFromHere = !near || zone.equals(options.zone());
      for (LiveRouter router : ranked.subList(0, Math.min(allowed, ranked.size()))) {
        boolean isFirst = router.cores() >= NEARLY_LARGEST * largest;
        sharing += isFirst ? 1 : 0;
        if (router.id().equals(options.id())) {
          ownRole = isFirst ? OwnRole.FIRST : OwnRole.RESERVE;
        } else if (usedFromHere) {
          (isFirst ? first : reserve).add(router);
        }
      }
    }
    if (blind && !first.isEmpty()) {
      ownRole = OwnRole.NONE;
    }
    return new Choice(
        ImmutableList.copyOf(first), ImmutableList.copyOf(reserve), ownRole, Math.max(1, sharing));
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

  /** Zones with routers in which about as many of the shards have a server as in any. */
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

  private static double largest(List<String> zones, Map<String, List<LiveRouter>> byZone) {
    double largest = 0;
    for (String zone : zones) {
      for (LiveRouter router : byZone.get(zone)) {
        largest = Math.max(largest, router.cores());
      }
    }
    return largest;
  }
}

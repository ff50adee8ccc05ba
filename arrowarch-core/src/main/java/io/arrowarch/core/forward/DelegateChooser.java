package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.server.ServerDirectory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/**
 * Decides which parts of a search other routers run, and which ones. Where servers have connections
 * for every router, this one asks them all itself. Else each group of shards goes to a router of
 * this zone that gathers it, and parts without a server in this zone to one of another zone.
 */
final class DelegateChooser {
  /** A merged answer and what goes with it are about as long as two parts. */
  private static final int FEWEST_PARTS = 3;

  /** A delegate's zone must have servers for this part of the shards. */
  private static final double DELEGATE_SHARE = 0.8;

  /** Handing on must cost less than this part of the objective. */
  private static final double LONGEST_WAY = 0.2;

  /** A delegate that holds a search for this many objectives stands still. */
  private static final double STALL_OBJECTIVES = 1.25;

  private final ForwardOptions options;
  private final RouterGroup routers;
  private final ToIntFunction<String> groupCount;
  private final ZoneCoverage coverage;
  private final RandomGenerator random;
  private final Map<NearbyRouter, DelegateState> states = new HashMap<>();
  private final Map<GroupInZone, ImmutableSet<String>> gatherers = new HashMap<>();
  private ImmutableList<NearbyRouter> known = ImmutableList.of();

  /** A router and what to hand to it. */
  record Choice(NearbyRouter delegate, ImmutableList<String> shards) {}

  private record GroupInZone(String firstShard, String zone) {}

  /** A search, and when it is asked about. */
  private record Question(Duration objective, long nowNanos) {}

  /**
   * Creates a chooser.
   *
   * @param groupCount among how many groups of routers the shards of a search are divided
   */
  DelegateChooser(
      ForwardOptions options,
      RouterGroup routers,
      ToIntFunction<String> groupCount,
      ServerDirectory directory,
      RandomGenerator random) {
    this.options = options;
    this.routers = routers;
    this.groupCount = groupCount;
    this.coverage = new ZoneCoverage(directory);
    this.random = random;
  }

  /** What is known of a router. */
  DelegateState state(NearbyRouter router) {
    return states.computeIfAbsent(router, added -> new DelegateState());
  }

  /** What to hand on of a search, and to whom. */
  ImmutableList<Choice> choose(ImmutableList<String> shards, Duration objective, long nowNanos) {
    int wanted = groupCount.applyAsInt(shards.get(0));
    if (wanted == 1) {
      return ImmutableList.of();
    }
    refresh();
    Question question = new Question(objective, nowNanos);
    ImmutableList<ImmutableList<String>> groups = ShardGroups.split(shards, wanted);
    ImmutableList.Builder<Choice> choices = ImmutableList.builder();
    for (ImmutableList<String> group : groups) {
      ImmutableList<String> far = coverage.without(options.zone(), group, nowNanos);
      farDelegate(group, far, groups.size(), question)
          .ifPresent(delegate -> choices.add(new Choice(delegate, far)));
      ImmutableList<String> near = difference(group, far);
      nearDelegate(group, near, groups.size(), question)
          .ifPresent(delegate -> choices.add(new Choice(delegate, near)));
    }
    return choices.build();
  }

  private void refresh() {
    ImmutableList<NearbyRouter> now = routers.nearby();
    if (!now.equals(known)) {
      known = now;
      gatherers.clear();
      Set<NearbyRouter> left = new HashSet<>(now);
      states.keySet().removeIf(router -> !left.contains(router));
    }
  }

  private Optional<NearbyRouter> farDelegate(
      ImmutableList<String> group, ImmutableList<String> far, int groups, Question question) {
    if (far.size() < FEWEST_PARTS) {
      return Optional.empty();
    }
    List<NearbyRouter> able = new ArrayList<>();
    for (NearbyRouter router : known) {
      if (!router.zone().equals(options.zone())
          && gatherers(group, router.zone(), groups).contains(router.id())
          && coverage.share(router.zone(), far, question.nowNanos()) >= DELEGATE_SHARE) {
        able.add(router);
      }
    }
    return leastLoaded(able, question);
  }

  private Optional<NearbyRouter> nearDelegate(
      ImmutableList<String> group, ImmutableList<String> near, int groups, Question question) {
    ImmutableSet<String> ids = gatherers(group, options.zone(), groups);
    if (near.size() < FEWEST_PARTS || ids.contains(options.id())) {
      return Optional.empty();
    }
    return leastLoaded(
        known.stream().filter(router -> ids.contains(router.id())).toList(), question);
  }

  private ImmutableSet<String> gatherers(ImmutableList<String> group, String zone, int groups) {
    return gatherers.computeIfAbsent(
        new GroupInZone(group.get(0), zone),
        key -> ShardGroups.gatherers(group, idsOf(zone), groups));
  }

  private List<String> idsOf(String zone) {
    List<String> ids = new ArrayList<>();
    for (NearbyRouter router : known) {
      if (router.zone().equals(zone)) {
        ids.add(router.id());
      }
    }
    if (options.zone().equals(zone)) {
      ids.add(options.id());
    }
    return ids;
  }

  private Optional<NearbyRouter> leastLoaded(List<NearbyRouter> candidates, Question question) {
    Optional<NearbyRouter> best = Optional.empty();
    double least = Double.MAX_VALUE;
    for (NearbyRouter router : candidates) {
      DelegateState state = state(router);
      double load = state.load() + random.nextDouble();
      if (mayTake(state, question) && load < least) {
        least = load;
        best = Optional.of(router);
      }
    }
    return best;
  }

  private static boolean mayTake(DelegateState state, Question question) {
    long nowNanos = question.nowNanos();
    long objectiveNanos = question.objective().toNanos();
    return !state.isSuspended(nowNanos)
        && state.oldestOpenNanos(nowNanos) < STALL_OBJECTIVES * objectiveNanos
        && state.wayNanos(nowNanos) < LONGEST_WAY * objectiveNanos;
  }

  private static ImmutableList<String> difference(List<String> all, List<String> without) {
    Set<String> left = new HashSet<>(without);
    return all.stream()
        .filter(shard -> !left.contains(shard))
        .collect(ImmutableList.toImmutableList());
  }
}

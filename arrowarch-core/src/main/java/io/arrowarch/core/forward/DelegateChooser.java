package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.route.Route;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Decides which parts of a search other routers run, and which ones. Where servers have connections
 * for every router, this one asks them all itself; else each group of shards goes to the least
 * loaded of its gatherers.
 */
final class DelegateChooser {
  /**
   * Handing on must cost less than this part of the objective: running all parts of a wide search
   * on a small machine costs more.
   */
  private static final double LONGEST_WAY = 0.5;

  /** A delegate that holds a search for this many objectives stands still. */
  private static final double STALL_OBJECTIVES = 1.25;

  private final ForwardOptions options;
  private final RouterGroup routers;
  private final SearchLayout layout;
  private final Gatherers gatherers;
  private final RandomGenerator random;
  private final Map<LiveRouter, DelegateState> states = new HashMap<>();
  private ImmutableList<LiveRouter> known = ImmutableList.of();

  /** A router and what to hand to it. */
  record Choice(LiveRouter delegate, ImmutableList<String> shards) {}

  DelegateChooser(
      ForwardOptions options,
      RouterGroup routers,
      SearchLayout layout,
      Gatherers gatherers,
      RandomGenerator random) {
    this.options = options;
    this.routers = routers;
    this.layout = layout;
    this.gatherers = gatherers;
    this.random = random;
  }

  /** What is known of a router. */
  DelegateState state(LiveRouter router) {
    return states.computeIfAbsent(router, added -> new DelegateState());
  }

  /** What to hand on of a search, and to whom. */
  ImmutableList<Choice> choose(ImmutableList<String> shards, Route route, long nowNanos) {
    if (!layout.isGathered(shards.get(0))) {
      return ImmutableList.of();
    }
    forgetLeft();
    ImmutableList.Builder<Choice> choices = ImmutableList.builder();
    for (ImmutableList<String> group : SearchLayout.groups(shards)) {
      delegate(group, route, nowNanos)
          .ifPresent(delegate -> choices.add(new Choice(delegate, group)));
    }
    return choices.build();
  }

  private void forgetLeft() {
    ImmutableList<LiveRouter> now = routers.liveRouters();
    if (!now.equals(known)) {
      known = now;
      Set<LiveRouter> left = new HashSet<>(now);
      states.keySet().removeIf(router -> !left.contains(router));
    }
  }

  private Optional<LiveRouter> delegate(ImmutableList<String> group, Route route, long nowNanos) {
    Gatherers.Choice choice = gatherers.of(group);
    if (choice.ownRole() == Gatherers.OwnRole.FIRST) {
      return Optional.empty();
    }
    Optional<LiveRouter> first = leastLoaded(choice.first(), route, nowNanos);
    if (first.isPresent() || choice.ownRole() == Gatherers.OwnRole.RESERVE) {
      return first;
    }
    return leastLoaded(choice.reserve(), route, nowNanos);
  }

  private Optional<LiveRouter> leastLoaded(
      List<LiveRouter> candidates, Route route, long nowNanos) {
    Optional<LiveRouter> best = Optional.empty();
    double least = Double.MAX_VALUE;
    for (LiveRouter router : candidates) {
      DelegateState state = state(router);
      double load = state.load() + random.nextDouble();
      boolean allowed = options.allows(route.regions(), router.zone());
      if (allowed && mayTake(state, route.objective(), nowNanos) && load < least) {
        least = load;
        best = Optional.of(router);
      }
    }
    return best;
  }

  private static boolean mayTake(DelegateState state, Duration objective, long nowNanos) {
    long objectiveNanos = objective.toNanos();
    return !state.isSuspended(nowNanos)
        && state.oldestOpenNanos(nowNanos) < STALL_OBJECTIVES * objectiveNanos
        && state.wayNanos(nowNanos) < LONGEST_WAY * objectiveNanos;
  }
}

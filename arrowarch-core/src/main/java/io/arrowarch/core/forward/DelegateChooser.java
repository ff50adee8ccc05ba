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
 * Chooses the groups of shards to delegate and the router for each. If the servers accept enough
 * connections for every router, as {@link SearchLayout#isGathered} decides, nothing is delegated;
 * otherwise each group goes to the least loaded of its gatherers.
 */
final class DelegateChooser {
  /**
   * The delegation overhead must be below this fraction of the objective. The limit can be this
   * high because a small machine would take longer than that to run all parts of a wide search.
   */
  private static final double MAXIMUM_OVERHEAD_FRACTION = 0.5;

  /** A delegate that has held a search for this many times the objective counts as stalled. */
  private static final double STALL_OBJECTIVES = 1.25;

  private final ForwardOptions options;
  private final RouterGroup routers;
  private final SearchLayout layout;
  private final Gatherers gatherers;
  private final RandomGenerator random;
  private final Map<LiveRouter, DelegateState> states = new HashMap<>();
  private ImmutableList<LiveRouter> lastNearby = ImmutableList.of();

  /** A router and the shards to delegate to it. */
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

  /** The state of a router as a delegate; created on first use. */
  DelegateState state(LiveRouter router) {
    return states.computeIfAbsent(router, added -> new DelegateState());
  }

  /** Chooses a delegate for each group of shards; this router runs the groups without a choice. */
  ImmutableList<Choice> choose(ImmutableList<String> shards, Route route, long nowNanos) {
    if (!layout.isGathered(shards.get(0))) {
      return ImmutableList.of();
    }
    forgetDepartedRouters();
    ImmutableList.Builder<Choice> choices = ImmutableList.builder();
    for (ImmutableList<String> group : SearchLayout.groups(shards)) {
      delegate(group, route, nowNanos)
          .ifPresent(delegate -> choices.add(new Choice(delegate, group)));
    }
    return choices.build();
  }

  private void forgetDepartedRouters() {
    ImmutableList<LiveRouter> liveRouters = routers.liveRouters();
    if (!liveRouters.equals(lastNearby)) {
      lastNearby = liveRouters;
      Set<LiveRouter> present = new HashSet<>(liveRouters);
      states.keySet().removeIf(router -> !present.contains(router));
    }
  }

  private Optional<LiveRouter> delegate(ImmutableList<String> group, Route route, long nowNanos) {
    Gatherers.Choice choice = gatherers.of(group);
    if (choice.ownRole() == Gatherers.OwnRole.PRIMARY) {
      return Optional.empty();
    }
    Optional<LiveRouter> primary = leastLoaded(choice.primary(), route, nowNanos);
    if (primary.isPresent() || choice.ownRole() == Gatherers.OwnRole.BACKUP) {
      return primary;
    }
    return leastLoaded(choice.backup(), route, nowNanos);
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
        && state.estimatedOverheadNanos(nowNanos) < MAXIMUM_OVERHEAD_FRACTION * objectiveNanos;
  }
}

package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.route.ServiceSettings;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/** Takes callers' requests and passes them on by the configuration in force at their arrival. */
public final class ForwardCoordinator {
  private static final Duration BASE_RETRY_AFTER = Duration.ofMillis(150);

  /**
   * The part of a server's connections that routers use. The rest is for those that are being
   * opened or closed, and for what servers still hold of routers that have lost power.
   */
  private static final double USED_FRACTION = 2.0 / 3;

  /** A process that has just started takes half: servers may hold connections of its last life. */
  private static final Duration CAREFUL_START = Duration.ofSeconds(8);

  private static final int CAREFUL_DIVISOR = 2;

  /** How long after the start requests are held that come before the store is read. */
  private static final Duration LONGEST_HOLD = Duration.ofMillis(1_500);

  private static final double HOLD_FRACTION = 0.3;

  private static final int DEFAULT_CONNECTIONS = 16;
  private static final int MAXIMUM_OPEN = 8;

  private final ForwardOptions options;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final RandomGenerator random;
  private final EventLog events;
  private final IntSupplier routers;
  private final AttemptSender sender;
  private final SearchAdmission admission;
  private final long startNanos;
  private final Map<String, RouteState> routeStates = new HashMap<>();
  private Optional<RoutingConfiguration> configuration = Optional.empty();
  private final Deque<HeldRequest> held = new ArrayDeque<>();
  private boolean holds = true;
  private int inProgress;

  /**
   * Creates a coordinator without a configuration.
   *
   * @param routers how many routers share servers and budgets, this one included
   */
  public ForwardCoordinator(
      ForwardOptions options,
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      ServerDirectory directory,
      ServerTransport transport,
      EventLog events,
      IntSupplier routers) {
    this.options = options;
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.events = events;
    this.routers = routers;
    this.startNanos = clock.nanoTime();
    this.admission = new SearchAdmission(clock, timers, random, options.has(Mechanism.SLOW_START));
    AttemptBudgets budgets = new AttemptBudgets(options.extraAttempts(), routers, startNanos);
    this.sender =
        new AttemptSender(
            clock,
            timers,
            random,
            options,
            directory,
            budgets,
            transport,
            events,
            this::connectionShare);
  }

  /** Takes a configuration; requests in progress keep theirs. */
  public void reconfigure(RoutingConfiguration updated) {
    configuration = Optional.of(updated);
  }

  /** The configuration and the servers are known: requests need not be held any more. */
  public void onListed() {
    holds = false;
    submitHeld();
  }

  /** The store does not answer, so that nobody knows when it will be read: nothing is held. */
  public void onStoreLost() {
    holds = false;
    while (!held.isEmpty()) {
      refuseHeld(held.peekLast());
    }
  }

  /** The code of the process is compiled: searches are no longer limited as after a start. */
  public void onWarm() {
    admission.slowStart().end();
    admission.startWaiting();
  }

  /** Takes other bounds of extra attempts; what was spent by the old ones is forgotten. */
  public void reconfigure(ExtraAttemptRules changed) {
    sender.budgets().reconfigure(changed);
  }

  /** The configuration in force. */
  public Optional<RoutingConfiguration> configuration() {
    return configuration;
  }

  /** Requests without a final answer. */
  public int inProgress() {
    return inProgress;
  }

  /**
   * Attempts that this router may have open at one server of a service: its share of the server's
   * connections, and no more than {@link #MAXIMUM_OPEN}, which more would only make wait there.
   */
  public int connectionShare(String service) {
    int all =
        configuration
            .map(RoutingConfiguration::services)
            .map(services -> services.get(service))
            .map(ServiceSettings::maximumConnections)
            .orElse(DEFAULT_CONNECTIONS);
    double share = USED_FRACTION * all / Math.max(1, routers.getAsInt());
    if (clock.nanoTime() - startNanos < CAREFUL_START.toNanos()) {
      share /= CAREFUL_DIVISOR;
    }
    return Math.max(1, Math.min(MAXIMUM_OPEN, (int) share));
  }

  /**
   * Passes a request on.
   *
   * @param sink told the final answer exactly once, unless the request is cancelled; perhaps before
   *     this method returns
   */
  public ForwardHandle submit(
      ForwardedRequest request, Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    if (mayHold()) {
      return hold(request, sink);
    }
    if (configuration.isEmpty()) {
      return refuse(request, ErrorKind.NO_CONFIGURATION, "no configuration is known yet", sink);
    }
    Optional<Route> route = configuration.get().match(request.host(), request.target());
    if (route.isEmpty()) {
      return refuse(request, ErrorKind.UNKNOWN_PATH, "no route has this host and path", sink);
    }
    if (inProgress >= options.maximumRequests()) {
      return refuse(request, ErrorKind.OVERLOADED, "too many requests are in progress", sink);
    }
    return run(request, route.get(), sink);
  }

  /**
   * A process that has just started will know the configuration and the servers in a moment, and a
   * caller that was cut off by its end may not be able to ask once more.
   */
  private boolean mayHold() {
    return holds
        && held.size() < options.maximumRequests()
        && clock.nanoTime() < startNanos + LONGEST_HOLD.toNanos();
  }

  private ForwardHandle hold(
      ForwardedRequest request, Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    long nowNanos = clock.nanoTime();
    Duration timeLeft = request.timeLeft().orElse(options.defaultTimeLeft());
    long longestNanos = nowNanos + (long) (HOLD_FRACTION * timeLeft.toNanos());
    long untilNanos = Math.min(startNanos + LONGEST_HOLD.toNanos(), longestNanos);
    HeldRequest waiting = new HeldRequest(request, nowNanos, sink);
    held.addLast(waiting);
    timers.schedule(untilNanos, () -> refuseHeld(waiting));
    return () -> {
      held.remove(waiting);
      waiting.cancel();
    };
  }

  private void refuseHeld(HeldRequest waiting) {
    if (held.remove(waiting)) {
      waiting.refuse(
          (request, sink) ->
              refuse(request, ErrorKind.NO_CONFIGURATION, "the store is not read yet", sink));
    }
  }

  private void submitHeld() {
    while (!held.isEmpty()) {
      held.removeLast().submitTo(this, clock.nanoTime());
    }
  }

  /** Takes a server's whole answer to an attempt. */
  public void onReply(long attempt, ServerReply reply) {
    sender.onReply(attempt, reply);
  }

  /** Takes the end of an attempt without an answer. */
  public void onFailure(long attempt, ServerFailure failure) {
    sender.onFailure(attempt, failure);
  }

  private ForwardHandle run(
      ForwardedRequest request, Route route, Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    RouteState state =
        routeStates.computeIfAbsent(
            route.host() + route.pathPrefix(), key -> new RouteState(random));
    Duration timeLeft = request.timeLeft().orElse(options.defaultTimeLeft());
    boolean search = route.target() instanceof RouteTarget.AllShards;
    RequestTimes times =
        RequestTimes.of(
            route,
            clock.nanoTime(),
            timeLeft,
            request.timeLeft().map(state::spentBefore).orElse(Duration.ZERO),
            search,
            !admission.slowStart().isOver(clock.nanoTime()),
            random.nextDouble());
    inProgress++;
    ForwardExecution execution =
        new ForwardExecution(
            request,
            route,
            state,
            configuration.orElseThrow().version(),
            times,
            partsOf(route, state),
            sender,
            clock,
            timers,
            events,
            outcome -> {
              inProgress--;
              sink.accept(outcome);
            });
    if (search) {
      execution.onEnd(() -> onSearchEnded(execution));
      admission.admit(execution, request.timeLeft().map(state::isFirstTry).orElse(false));
    } else {
      execution.start();
    }
    return () -> cancel(execution);
  }

  private void onSearchEnded(ForwardExecution search) {
    if (search.isStarted()) {
      admission.onEnded(search);
    } else {
      admission.forget(search);
    }
  }

  private void cancel(ForwardExecution execution) {
    if (!execution.isFinished()) {
      inProgress--;
      execution.cancel();
    }
  }

  private ImmutableList<PartProgress> partsOf(Route route, RouteState state) {
    if (route.target() instanceof RouteTarget.AllShards shards) {
      return shards.services().stream()
          .map(PartProgress::new)
          .collect(ImmutableList.toImmutableList());
    }
    String service = state.nextService((RouteTarget.OneServer) route.target());
    return ImmutableList.of(new PartProgress(service));
  }

  private ForwardHandle refuse(
      ForwardedRequest request,
      ErrorKind kind,
      String detail,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    long version = configuration.map(RoutingConfiguration::version).orElse(0L);
    events.log(
        new RouterEvent.RequestEnded(
            request.id(),
            "",
            version,
            "refused",
            kind.wireName(),
            detail,
            0,
            0,
            0,
            0,
            0,
            0,
            List.of()));
    Duration retryAfter = BASE_RETRY_AFTER.plusMillis(random.nextLong(BASE_RETRY_AFTER.toMillis()));
    sink.accept(Either.left(QueryError.of(kind, detail).withRetryAfter(retryAfter)));
    return () -> {};
  }
}

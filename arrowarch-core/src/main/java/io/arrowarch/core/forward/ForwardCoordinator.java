package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.suspect.SuspectRequests;
import io.arrowarch.core.suspect.SuspectRules;
import io.arrowarch.core.tenant.Authenticator;
import io.arrowarch.core.tenant.Tenant;
import io.arrowarch.core.tenant.TenantLimiter;
import io.arrowarch.core.tenant.Tenants;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Takes callers' requests and passes them on by the configuration in force at their arrival. */
public final class ForwardCoordinator {
  /**
   * The way there and back that a caller waits for its connection: 3 ms each way on the sites whose
   * callers are farthest. Without it every answer that leaves when it is due comes too late to a
   * caller that has just connected.
   */
  private static final Duration CONNECT_WAY = Duration.ofMillis(6);

  /** How long servers may hold connections of a process's last life, and the code is slow. */
  private static final Duration YOUNG = Duration.ofSeconds(8);

  private final ForwardOptions options;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final RandomGenerator random;
  private final ServerDirectory directory;
  private final EventLog events;
  private final Refusals refusals;
  private final HeldRequests held;
  private final SearchLayout layout;
  private final Gatherers gatherers;
  private final ConnectionShares shares;
  private final ColdServerLimits coldServers;
  private final AttemptSender sender;
  private final SearchAdmission admission;
  private final PartDelegator delegator;
  private final TimerLateness lateness = new TimerLateness();
  private final TenantLimiter limiter;
  private final TenantAdmission tenants;
  private final DelegatedSearches delegatedSearches;
  private final SuspectRequests suspects;
  private final CrashGuard crashGuard;
  private final long startNanos;
  private final Map<String, RouteState> routeStates = new HashMap<>();
  private Optional<RoutingConfiguration> configuration = Optional.empty();
  private int inProgress;

  /**
   * Creates a coordinator without a configuration.
   *
   * @param group the other routers
   * @param viewAge how old this router's view of configuration and servers may be
   */
  public ForwardCoordinator(
      ForwardOptions options,
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      ServerDirectory directory,
      ServerTransport transport,
      EventLog events,
      RouterGroup group,
      Supplier<Optional<Duration>> viewAge) {
    this.options = options;
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.directory = directory;
    this.events = events;
    this.startNanos = clock.nanoTime();
    this.refusals = new Refusals(this::versionInForce, viewAge, random, events);
    this.held = new HeldRequests(clock, timers, options.maximumRequests(), this::refuseHeld);
    this.layout = new SearchLayout(group::count, options.has(Mechanism.DELEGATION));
    this.gatherers = new Gatherers(options, group, layout, new ZoneCoverage(directory), clock);
    this.shares = new ConnectionShares(layout, gatherers, group::count, this::isYoung);
    this.delegator =
        new PartDelegator(
            clock,
            timers,
            new DelegateChooser(options, group, layout, gatherers, random),
            group.transport(),
            events);
    this.limiter =
        new TenantLimiter(
            options.id(),
            options.zone(),
            options.tenants().limits(),
            group.peers(),
            this::tenantsInForce,
            clock,
            timers,
            random,
            events);
    this.tenants =
        new TenantAdmission(
            new Authenticator(options.tenants().revocation(), viewAge),
            limiter,
            this::tenantsInForce,
            viewAge,
            events);
    this.suspects =
        new SuspectRequests(
            options.id(),
            options.has(Mechanism.CRASH_GUARD) ? SuspectRules.DEFAULT : SuspectRules.NONE,
            group.peers(),
            clock,
            timers,
            random,
            events);
    this.crashGuard = new CrashGuard(suspects, this::hasServer, clock, random, refusals);
    this.delegatedSearches =
        new DelegatedSearches(
            this::configuration,
            tenants,
            suspects,
            this::inProgress,
            options.maximumRequests(),
            clock,
            random,
            (request, route, times, watch, sink) ->
                run(request, route, times, Delegator.NONE, watch, false, sink));
    this.admission = new SearchAdmission(clock, timers, random, options.has(Mechanism.SLOW_START));
    AttemptBudgets budgets =
        new AttemptBudgets(options.extraAttempts(), shares::allowanceFraction, startNanos);
    this.coldServers = new ColdServerLimits(options.coldServers(), shares::coldServerFraction);
    this.sender =
        new AttemptSender(
            clock,
            timers,
            random,
            options,
            directory,
            budgets,
            coldServers,
            transport,
            events,
            shares::share);
  }

  /** Takes a configuration; requests in progress keep theirs. */
  public void reconfigure(RoutingConfiguration updated) {
    configuration = Optional.of(updated);
    layout.reconfigure(updated);
    coldServers.reconfigure(updated);
    limiter.onReconfigured();
  }

  private long versionInForce() {
    return configuration.map(RoutingConfiguration::version).orElse(0L);
  }

  private Tenants tenantsInForce() {
    return configuration.map(RoutingConfiguration::tenants).orElse(Tenants.NONE);
  }

  private boolean hasServer(String service) {
    return !directory.usable(service, clock.nanoTime()).isEmpty();
  }

  /** The requests under which servers have ended. */
  public SuspectRequests suspects() {
    return suspects;
  }

  /** Starts what needs the other routers. */
  public void start() {
    suspects.start();
  }

  /** Takes a message of another router that is not about the routers themselves. */
  public void onPeerMessage(PeerMessage message) {
    limiter.onMessage(message);
    suspects.onMessage(message);
  }

  /** Counts the use of tenants with the other routers. */
  public TenantLimiter tenantLimiter() {
    return limiter;
  }

  /** Whether requests with keys are refused now, since this router's view is too old. */
  public boolean isClosedToKeys() {
    return tenants.isClosed();
  }

  /** The configuration and the servers are known: requests need not be held any more. */
  public void onListed() {
    held.submitTo(this);
  }

  /** The store does not answer, so that nobody knows when it will be read: nothing is held. */
  public void onStoreLost() {
    held.refuseAll();
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

  /** What this router is for searches, as far as it knows the configuration and the others. */
  public SearchRole searchRole() {
    ImmutableSet<ImmutableList<String>> gathered = layout.gatheredGroups();
    if (gathered.isEmpty()) {
      return SearchRole.ALONE;
    }
    boolean gathers =
        gathered.stream()
            .anyMatch(group -> gatherers.of(group).ownRole() != Gatherers.OwnRole.NONE);
    return gathers ? SearchRole.GATHERS : SearchRole.HANDS_ON;
  }

  /** Attempts that this router may have open at one server of a service. */
  public int connectionShare(String service) {
    return shares.share(service);
  }

  /** This process, and perhaps all others with it, has just started. */
  private boolean isYoung() {
    return clock.nanoTime() - startNanos < YOUNG.toNanos();
  }

  /**
   * Passes a request on.
   *
   * @param sink told the final answer exactly once, unless the request is cancelled; perhaps before
   *     this method returns
   */
  public ForwardHandle submit(
      ForwardedRequest request, Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    if (held.mayHold()) {
      Duration timeLeft = request.timeLeft().orElse(options.defaultTimeLeft());
      return held.hold(request, timeLeft, sink);
    }
    if (configuration.isEmpty()) {
      return refusals.refuse(
          request, ErrorKind.NO_CONFIGURATION, "no configuration is known yet", sink);
    }
    Optional<Route> route = configuration.get().match(request.host(), request.target());
    if (route.isEmpty()) {
      return refusals.refuse(
          request, ErrorKind.UNKNOWN_PATH, "no route has this host and path", sink);
    }
    if (inProgress >= options.maximumRequests()) {
      return refusals.refuse(
          request, ErrorKind.OVERLOADED, "too many requests are in progress", sink);
    }
    return tenants.admit(request, route.get(), new Admitted(request, sink));
  }

  /** What follows the decision on a caller's key and its tenant's limit. */
  private final class Admitted implements TenantAdmission.Outcome {
    private final ForwardedRequest received;
    private final long receivedNanos = clock.nanoTime();
    private final Consumer<Either<QueryError, ForwardedAnswer>> sink;

    Admitted(ForwardedRequest received, Consumer<Either<QueryError, ForwardedAnswer>> sink) {
      this.received = received;
      this.sink = sink;
    }

    @Override
    public ForwardHandle run(
        ForwardedRequest request, Route route, RunPermit permit, Optional<Tenant> tenant) {
      Duration waited = Duration.ofNanos(clock.nanoTime() - receivedNanos);
      ForwardedRequest left = waited.isZero() ? request : request.after(waited);
      return crashGuard.run(
          left,
          route,
          permit,
          ForwardCoordinator.this::run,
          tenant.isEmpty() ? sink : outcome -> end(tenant.get(), outcome));
    }

    private void end(Tenant tenant, Either<QueryError, ForwardedAnswer> outcome) {
      if (outcome.isLeft() && outcome.getLeft().executed() == Executed.NO) {
        tenants.giveBack(tenant);
      }
      sink.accept(outcome);
    }

    @Override
    public void refuse(ErrorKind kind, String detail, Optional<Duration> retryAfter) {
      ForwardHandle unused = refusals.refuse(received, kind, detail, retryAfter, sink);
    }
  }

  private void refuseHeld(HeldRequest waiting) {
    waiting.refuse(
        (request, sink) ->
            refusals.refuse(
                request, ErrorKind.NO_CONFIGURATION, "the store is not read yet", sink));
  }

  /** Takes a server's whole answer to an attempt. */
  public void onReply(long attempt, ServerReply reply) {
    sender.onReply(attempt, reply);
  }

  /** Takes the end of an attempt without an answer. */
  public void onFailure(long attempt, ServerFailure failure) {
    sender.onFailure(attempt, failure);
  }

  /** A server has ended, by the directory: what is open there gets no answer. */
  void onServerEnded(String serverId) {
    sender.onServerEnded(serverId);
  }

  private ForwardHandle run(
      ForwardedRequest request,
      Route route,
      RequestWatch watch,
      boolean mayHandOn,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    RouteState state = stateOf(route);
    Duration timeLeft = request.timeLeft().orElse(options.defaultTimeLeft());
    RequestTimes times =
        RequestTimes.of(
            route,
            clock.nanoTime(),
            timeLeft,
            spentBefore(request, route, state),
            route.target() instanceof RouteTarget.AllShards,
            random.nextDouble());
    boolean firstTry = request.timeLeft().map(state::isFirstTry).orElse(false);
    Delegator others = mayHandOn ? delegator : Delegator.NONE;
    return run(request, route, times, others, watch, firstTry, sink);
  }

  /** How long ago the caller first asked, and what this router's own lateness is likely to cost. */
  private Duration spentBefore(ForwardedRequest request, Route route, RouteState state) {
    Duration before = request.timeLeft().map(state::spentBefore).orElse(Duration.ZERO);
    Duration connected = request.caller().hasJustConnected() ? CONNECT_WAY : Duration.ZERO;
    return before.plus(connected).plusNanos(lateness.nanos(route.objective()));
  }

  private RouteState stateOf(Route route) {
    return routeStates.computeIfAbsent(
        route.host() + route.pathPrefix(), key -> new RouteState(random));
  }

  private ForwardHandle run(
      ForwardedRequest request,
      Route route,
      RequestTimes times,
      Delegator others,
      RequestWatch watch,
      boolean firstTry,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    RouteState state = stateOf(route);
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
            others,
            watch,
            lateness,
            clock,
            timers,
            events,
            outcome -> {
              inProgress--;
              sink.accept(outcome);
            });
    if (route.target() instanceof RouteTarget.AllShards) {
      execution.onEnd(() -> onSearchEnded(execution));
      admission.admit(execution, firstTry);
    } else {
      execution.start();
    }
    return () -> cancel(execution);
  }

  /**
   * Runs parts of a search for another router, or declines them. They are not handed on again.
   *
   * @param sink told once, unless the search is cancelled; perhaps before this method returns
   */
  public ForwardHandle submitDelegated(DelegatedSearch search, Consumer<DelegateReply> sink) {
    return delegatedSearches.submit(search, sink);
  }

  /** Takes another router's reply about parts that were handed to it. */
  public void onDelegateReply(long number, DelegateReply reply) {
    delegator.onReply(number, reply);
  }

  /** Takes the end of parts that were handed to another router, without a reply. */
  public void onDelegateFailure(long number, DelegateFailure failure) {
    delegator.onFailure(number, failure);
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
          .map(service -> new PartProgress(service, route.regions()))
          .collect(ImmutableList.toImmutableList());
    }
    String service = state.nextService((RouteTarget.OneServer) route.target());
    return ImmutableList.of(new PartProgress(service, route.regions()));
  }
}

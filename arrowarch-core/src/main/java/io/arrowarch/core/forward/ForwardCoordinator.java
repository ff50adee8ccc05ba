package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.intake.ArrivalPoll;
import io.arrowarch.core.intake.NewWork;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.server.ServerStatus;
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
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Forwards callers' requests to servers. Each request is routed by the configuration in force when
 * it arrives.
 */
public final class ForwardCoordinator implements DelegateOutcomes {
  /**
   * The round trip that a caller spends on opening its connection: 3 ms each way at the sites with
   * the most distant callers. It is deducted from the objective; otherwise an answer sent exactly
   * when it is due would reach a caller that has just connected too late.
   */
  private static final Duration CONNECT_ROUND_TRIP = Duration.ofMillis(6);

  /**
   * How long after its start a process counts as recently started. Until then it uses a smaller
   * share of connections, since servers may still hold those of its previous incarnation, and puts
   * less load on cold servers, since it may not know most other routers. At first its code is also
   * slow because it is not compiled yet.
   */
  private static final Duration START_UP_PERIOD = Duration.ofSeconds(8);

  /**
   * Entries of servers that live may disappear for a moment. Attempts that are answered within this
   * time are then not attributed a crash.
   */
  private static final Duration ENTRY_RETURN_PERIOD = Duration.ofMillis(300);

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
  private final DelegatedSearchHandler delegatedSearchHandler;
  private final SuspectRequests suspects;
  private final CrashGuard crashGuard;
  private final long startNanos;
  private final RequestsInProgress inProgress = new RequestsInProgress();
  private final NewWork newWork;
  private final WorkQueue work = new WorkQueue();
  private final RouteStates routeStates;
  private Optional<RoutingConfiguration> configuration = Optional.empty();

  /**
   * Creates a coordinator without a configuration.
   *
   * @param arrivals tells when what has arrived is handled, so that new work may begin
   * @param group the routers that share servers and budgets, as known to this one
   * @param viewAge upper bound of the age of this router's view of configuration and servers; empty
   *     before there is a view
   */
  public ForwardCoordinator(
      ForwardOptions options,
      RouterClock clock,
      TimerQueue timers,
      ArrivalPoll arrivals,
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
    this.newWork = new NewWork(clock, arrivals);
    this.routeStates = new RouteStates(random);
    this.refusals = new Refusals(this::versionInForce, viewAge, random, events);
    this.held = new HeldRequests(clock, timers, options.maximumRequests(), this::refuseHeld);
    this.layout = new SearchLayout(group::count, options.has(Mechanism.DELEGATION));
    this.gatherers = new Gatherers(options, group, layout, new ZoneCoverage(directory), clock);
    this.shares = new ConnectionShares(layout, gatherers, group::count, this::hasJustStarted);
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
    this.crashGuard = new CrashGuard(suspects, this::hasServer, clock, timers, random, refusals);
    this.delegatedSearchHandler =
        new DelegatedSearchHandler(
            this::configuration,
            tenants,
            suspects,
            inProgress::count,
            options.maximumRequests(),
            clock,
            random,
            (request, route, times, monitor, sink) ->
                run(request, route, times, Delegator.NONE, monitor, false, sink));
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
            suspects,
            events,
            shares::share,
            newWork);
  }

  /** Puts a configuration in force. Requests in progress keep the one they started with. */
  public void reconfigure(RoutingConfiguration updated) {
    configuration = Optional.of(updated);
    routeStates.reconfigure(updated);
    sender.budgets().retain(updated.services().keySet(), clock.nanoTime());
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

  /** Requests suspected of crashing the servers that ran them. */
  public SuspectRequests suspects() {
    return suspects;
  }

  /** Starts the exchange of suspected requests with the other routers. */
  public void start() {
    suspects.start();
  }

  /**
   * Handles a message from another router about tenants or suspected requests. Membership messages
   * are handled elsewhere.
   */
  public void onPeerMessage(PeerMessage message) {
    limiter.onMessage(message);
    suspects.onMessage(message);
  }

  /** Enforces the rate limits of tenants together with the other routers. */
  public TenantLimiter tenantLimiter() {
    return limiter;
  }

  /** Whether requests with API keys are refused because this router's view is too old. */
  public boolean refusesApiKeys() {
    return tenants.refusesApiKeys();
  }

  /** Called when the configuration and the servers are known: submits the held requests. */
  public void onListed() {
    held.submitTo(this);
  }

  /**
   * Called when the store does not answer. It is not known when the store can be read, so all held
   * requests are refused and no more are held.
   */
  public void onStoreLost() {
    held.refuseAll();
  }

  /** Called when the code of the process is compiled: lifts the slow-start limit on searches. */
  public void onWarm() {
    admission.slowStart().end();
    admission.startWaiting();
  }

  /**
   * Replaces the limits of hedges and retries. If they differ, what was spent under the old ones is
   * reset.
   */
  public void reconfigure(ExtraAttemptRules changed) {
    sender.budgets().reconfigure(changed);
  }

  /** The configuration in force. */
  public Optional<RoutingConfiguration> configuration() {
    return configuration;
  }

  Duration defaultTimeLeft() {
    return options.defaultTimeLeft();
  }

  /** Number of routes of which state is kept. */
  int trackedRoutes() {
    return routeStates.size();
  }

  /** Number of requests that have no final answer yet. */
  public int inProgress() {
    return inProgress.count();
  }

  /**
   * Refuses, now and from now on, requests that have not run and may last beyond the end of the
   * process.
   *
   * @param endNanos when the process ends, on the router's monotonic clock
   */
  void startNoneBeyond(long endNanos) {
    held.refuseAll();
    inProgress.startNoneBeyond(endNanos);
  }

  /** Gives each request its final answer, and refuses all that come from now on. */
  void endRequests() {
    held.refuseAll();
    inProgress.endAll(clock.nanoTime());
  }

  /**
   * Role of this router in searches, according to the configuration and the routers known to it.
   */
  public SearchRole searchRole() {
    ImmutableSet<ImmutableList<String>> gathered = layout.gatheredGroups();
    if (gathered.isEmpty()) {
      return SearchRole.DIRECT;
    }
    boolean gathers =
        gathered.stream()
            .anyMatch(group -> gatherers.of(group).ownRole() != Gatherers.OwnRole.NONE);
    return gathers ? SearchRole.GATHERER : SearchRole.DELEGATING;
  }

  /** Maximum number of attempts that this router may have open at one server of a service. */
  public int connectionShare(String service) {
    return shares.share(service);
  }

  /**
   * Whether this process has just started. All other routers may have started with it; it then does
   * not know them yet and must not rely on their number.
   */
  private boolean hasJustStarted() {
    return clock.nanoTime() - startNanos < START_UP_PERIOD.toNanos();
  }

  /**
   * Forwards a request.
   *
   * @param sink receives the final answer exactly once, unless the request is cancelled; possibly
   *     before this method returns
   */
  public ForwardHandle submit(
      ForwardedRequest request, Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    if (held.mayHold()) {
      Duration timeLeft = request.timeLeft().orElse(options.defaultTimeLeft());
      return held.hold(request, timeLeft, sink);
    }
    if (configuration.isEmpty()) {
      return refusals.refuse(
          request, ErrorKind.NO_CONFIGURATION, "no configuration has been loaded yet", sink);
    }
    Optional<Route> route = configuration.get().match(request.host(), request.target());
    if (route.isEmpty()) {
      return refusals.refuse(
          request, ErrorKind.UNKNOWN_PATH, "no route matches the host and path", sink);
    }
    if (inProgress.count() >= options.maximumRequests()) {
      return refusals.refuse(
          request, ErrorKind.OVERLOADED, "too many requests are in progress", sink);
    }
    return tenants.admit(request, route.get(), new AdmissionHandler(request, sink));
  }

  /** Runs or refuses a request after the decision on its API key and its tenant's limit. */
  private final class AdmissionHandler implements TenantAdmission.Handler {
    private final ForwardedRequest received;
    private final long receivedNanos = clock.nanoTime();
    private final Consumer<Either<QueryError, ForwardedAnswer>> sink;

    AdmissionHandler(
        ForwardedRequest received, Consumer<Either<QueryError, ForwardedAnswer>> sink) {
      this.received = received;
      this.sink = sink;
    }

    @Override
    public ForwardHandle run(
        ForwardedRequest request, Route route, RunPermit permit, Optional<Tenant> tenant) {
      Duration waited = Duration.ofNanos(clock.nanoTime() - receivedNanos);
      ForwardedRequest remaining = waited.isZero() ? request : request.afterWaiting(waited);
      return crashGuard.run(
          remaining,
          route,
          permit,
          ForwardCoordinator.this::run,
          tenant.isEmpty() ? sink : outcome -> end(tenant.get(), outcome));
    }

    private void end(Tenant tenant, Either<QueryError, ForwardedAnswer> outcome) {
      if (outcome.isLeft() && outcome.getLeft().executed() == Executed.NO) {
        tenants.refund(tenant);
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
                request, ErrorKind.NO_CONFIGURATION, "the store has not been read yet", sink));
  }

  /** Handles the complete reply of a server to an attempt. */
  public void onReply(long attempt, ServerReply reply) {
    sender.onReply(attempt, reply);
  }

  /** Handles an attempt that ended without a reply. */
  public void onFailure(long attempt, ServerFailure failure) {
    sender.onFailure(attempt, failure);
  }

  /**
   * Called when the directory reports that a server process has ended: attempts open there will get
   * no reply.
   */
  void onServerEnded(String serverId) {
    sender.onServerEnded(serverId);
  }

  /**
   * Called when the entry of a server has been removed. Unless the server was draining or its entry
   * soon returns, it counts as ended.
   */
  void onServerVanished(String serverId) {
    long sinceNanos = clock.nanoTime();
    timers.schedule(
        sinceNanos + ENTRY_RETURN_PERIOD.toNanos(),
        () -> {
          boolean gone =
              directory
                  .find(serverId)
                  .map(server -> server.status() == ServerStatus.GONE)
                  .orElse(true);
          if (gone) {
            sender.onServerVanished(serverId, sinceNanos);
          }
        });
  }

  private ForwardHandle run(
      ForwardedRequest request,
      Route route,
      RequestMonitor monitor,
      boolean mayDelegate,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    RouteState state = routeStates.of(route);
    Duration timeLeft = request.timeLeft().orElse(options.defaultTimeLeft());
    RequestTimes times =
        RequestTimes.of(
            route,
            clock.nanoTime(),
            request.unread(),
            timeLeft,
            spentBefore(request, route, state),
            route.target() instanceof RouteTarget.AllShards,
            random.nextDouble());
    boolean firstTry = request.timeLeft().map(state::isFirstTry).orElse(false);
    Delegator others = mayDelegate ? delegator : Delegator.NONE;
    return run(request, route, times, others, monitor, firstTry, sink);
  }

  /**
   * Time to deduct from the objective: the time since the caller's first try, the round trip of a
   * new connection, and the reserve for delays of this router, in reading the request and in its
   * timers.
   */
  private Duration spentBefore(ForwardedRequest request, Route route, RouteState state) {
    Duration before = request.timeLeft().map(state::spentBefore).orElse(Duration.ZERO);
    Duration connected = request.caller().hasJustConnected() ? CONNECT_ROUND_TRIP : Duration.ZERO;
    return before.plus(connected).plusNanos(lateness.reserveNanos(route.objective()));
  }

  private ForwardHandle run(
      ForwardedRequest request,
      Route route,
      RequestTimes times,
      Delegator others,
      RequestMonitor monitor,
      boolean firstTry,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    if (!inProgress.mayStart(times.responseDeadlineNanos())) {
      return refusals.refuse(
          request,
          ErrorKind.DRAINING,
          RequestsInProgress.STOP_REASON,
          Optional.of(RequestsInProgress.RETRY_AFTER_STOP),
          sink);
    }
    RouteState state = routeStates.of(route);
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
            monitor,
            inProgress,
            lateness,
            clock,
            timers,
            events,
            newWork,
            work,
            sink);
    inProgress.add(execution);
    if (route.target() instanceof RouteTarget.AllShards) {
      execution.onEnd(() -> onSearchEnded(execution));
      admission.admit(execution, firstTry);
    } else {
      execution.start();
    }
    return execution;
  }

  /**
   * Runs parts of a search for another router, or declines them. They are not delegated again.
   *
   * @param sink receives the reply once, unless the search is cancelled; possibly before this
   *     method returns
   */
  public ForwardHandle submitDelegated(DelegatedSearch search, Consumer<DelegateReply> sink) {
    return delegatedSearchHandler.submit(search, sink);
  }

  /** Handles the reply of another router to parts that were delegated to it. */
  @Override
  public void onDelegateReply(long number, DelegateReply reply) {
    delegator.onReply(number, reply);
  }

  /** Handles parts that were delegated to another router and ended without a reply. */
  @Override
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

package io.arrowarch.node.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.forward.ForwardingRouter;
import io.arrowarch.core.forward.Mechanism;
import io.arrowarch.core.forward.RouterPeers;
import io.arrowarch.core.forward.SearchRole;
import io.arrowarch.core.memory.CallerAccount;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.PeerEndpoint;
import io.arrowarch.node.ReplyMemory;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.SystemClock;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/**
 * A process that passes requests on: the decisions on one event loop, with servers for callers, for
 * the platform's question whether it is ready, and for metrics.
 *
 * <p>A planned stop: not ready at once; callers are served on while the platform turns away, with
 * the request to close; idle connections are closed; the process ends when nothing is in progress.
 */
public final class ForwardingNode extends VerticleBase {
  private static final Duration CONNECTION_SWEEP = Duration.ofMillis(200);
  private static final Duration FIRST_WORK_POLL = Duration.ofMillis(10);
  private static final Duration ROLE_POLL = Duration.ofMillis(50);

  /** A process that cannot read the store warms up meanwhile. */
  private static final Duration LATEST_WARM_UP = Duration.ofSeconds(1);

  /** Routers that were there before answer the first message within this. */
  private static final Duration TIME_FOR_PEERS = Duration.ofMillis(200);

  private static final Duration LATEST_READY = Duration.ofSeconds(2);

  private static final Duration LATEST_SECOND_WORK = Duration.ofSeconds(3);

  /** Routers that have started together do this work one after the other. */
  private static final Duration SECOND_WORK_SPREAD = Duration.ofSeconds(5);

  private static final int EARLY_LINES_AT_ONCE = 10;
  private static final Duration EARLY_LINES_INTERVAL = Duration.ofMillis(50);

  /** Routers that have started together know nearly all others after this. */
  private static final Duration TIME_TO_KNOW_FLEET = Duration.ofMillis(2_500);

  /** Many attempts of a search end at the same time; what has arrived goes before the last. */
  private static final Duration LONGEST_TIMER_RUN = Duration.ofMillis(5);

  /** Turns of the event loop from this length on are logged: a caller notices the delay. */
  private static final Duration LONG_TURN = Duration.ofMillis(150);

  private static final double NANOS_PER_MILLI = 1e6;

  private ForwardNodeSettings settings;
  private final CallerCodec callerCodec;
  private final AttemptCodec attemptCodec;
  private final FeedCodec feedCodec;
  private final WarmUpCodec warmUpCodec;
  private final JsonEventLog events;
  private final ForwardMetrics metrics = new ForwardMetrics();
  private final TimerQueue timers = new TimerQueue();
  private final RandomGenerator random = new SplittableRandom();
  private final long startNanos = System.nanoTime();
  private EventLoopDriver driver;
  private ForwardingRouter router;
  private DelegateServer delegated;
  private RouterPeers peers;
  private CallerServer callers;
  private WarmUps warmUps;
  private SocketAddressSetting callerAddress;
  private SocketAddressSetting readinessAddress;
  private SocketAddressSetting peerAddress;
  private final Promise<Integer> warm = Promise.promise();
  private boolean wasReady;
  private boolean logOpens;

  /** When the warm-up began, which is when the store was listed; 0 before. */
  private long listedNanos;

  /** Creates a node; deploying it starts it. */
  public ForwardingNode(
      ForwardNodeSettings settings,
      CallerCodec callerCodec,
      AttemptCodec attemptCodec,
      FeedCodec feedCodec,
      WarmUpCodec warmUpCodec,
      JsonEventLog events) {
    this.settings = settings;
    this.callerCodec = callerCodec;
    this.attemptCodec = attemptCodec;
    this.feedCodec = feedCodec;
    this.warmUpCodec = warmUpCodec;
    this.events = events;
  }

  /** Where callers reach the node, with the port that the system chose. */
  public SocketAddressSetting callerAddress() {
    return callerAddress;
  }

  /** Where other routers reach this one, with the port that the system chose. */
  public SocketAddressSetting peerAddress() {
    return peerAddress;
  }

  /** Where the platform asks for readiness, with the port that the system chose. */
  public SocketAddressSetting readinessAddress() {
    return readinessAddress;
  }

  @Override
  public Future<?> start() {
    SystemClock clock = new SystemClock();
    driver =
        new EventLoopDriver(
            vertx,
            context,
            () -> timers.runDue(System::nanoTime, LONGEST_TIMER_RUN),
            timers::nextDueNanos,
            this::onTurn);
    MalformedResponses malformed = new MalformedResponses(events);
    ServerConnections connections = new ServerConnections(vertx, malformed);
    ServerClient servers =
        new ServerClient(
            driver, () -> router.coordinator(), attemptCodec, connections, ReplyMemory.ofHeap());
    FeedServer feedServer = new FeedServer(vertx, () -> router.follower(), feedCodec);
    StoreClient store =
        new StoreClient(
            vertx,
            driver,
            () -> router.follower(),
            feedCodec,
            settings.store(),
            feedServer::onFollowed,
            malformed);
    DelegateClient delegates =
        new DelegateClient(vertx, driver, () -> router.coordinator(), malformed);
    delegated = new DelegateServer(driver, () -> router);
    PeerEndpoint endpoint =
        new PeerEndpoint(
            vertx,
            new StreamingPeerCodec(),
            message -> driver.run(() -> peers.onMessage(message)),
            ImmutableMap.of(
                PeerEndpoint.SEARCH_PATH, delegated, PeerEndpoint.FEED_PATH, feedServer));
    router =
        new ForwardingRouter(
            settings.options(),
            clock,
            timers,
            driver,
            random,
            servers,
            store,
            events,
            new NodeRouterGroup(contactsOfOthers(), () -> peers, delegates));
    CallerAccount account = CallerAccounts.ofHeap(clock, settings.maximumCallerConnections());
    callers = new CallerServer(vertx, driver, router, callerCodec, metrics, account);
    warmUps =
        new WarmUps(
            vertx,
            context,
            settings.options(),
            callerCodec,
            attemptCodec,
            feedCodec,
            warmUpCodec,
            () -> callers.connectionCount() > 0);
    new NodeGauges(metrics).bind(router, connections, store, endpoint, malformed, account);
    vertx.setPeriodic(CONNECTION_SWEEP.toMillis(), id -> connections.closeRested());
    OperatorServers operators = new OperatorServers(vertx, this::isReady, metrics);
    // Callers first: what comes before the store is listed is held, not turned away.
    return callers
        .listen(settings.callers())
        .onSuccess(bound -> callerAddress = bound)
        .compose(bound -> endpoint.listen(settings.peers()))
        .onSuccess(
            bound -> {
              peerAddress = bound;
              peers = createPeers(bound, clock, endpoint);
              driver.run(router::start);
            })
        .compose(bound -> operators.listenForReadiness(settings.readiness()))
        .onSuccess(bound -> readinessAddress = bound)
        .compose(bound -> listenForMetrics(operators))
        .onSuccess(bound -> driver.run(this::startDecisions));
  }

  private void onTurn(Duration turn, int handled, Duration longestEvent) {
    metrics.onTurn(turn);
    if (turn.compareTo(LONG_TURN) >= 0) {
      events.log(
          new RouterEvent.LongTurn(
              turn.toNanos() / NANOS_PER_MILLI,
              handled,
              longestEvent.toNanos() / NANOS_PER_MILLI,
              router.coordinator().inProgress()));
    }
  }

  /** Completes with the number of made-up searches when the process is warm. */
  public Future<Integer> whenWarm() {
    return warm.future();
  }

  /**
   * Completes when also what a router of a large fleet needs has been run once: handing searches
   * on, and messages between routers. For making an archive of classes.
   */
  public Future<Integer> whenAllIsLoaded() {
    Promise<Integer> loaded = Promise.promise();
    whenWarm()
        .onSuccess(
            searches ->
                context.runOnContext(
                    ignored -> {
                      peers.pingSelf();
                      warmUps.run(WarmUpPlan.HANDED_ON).onComplete(loaded);
                    }));
    return loaded.future();
  }

  /** For operators and tests: what is known of a server; empty when it is not known. */
  public String describesServer(String serverId) {
    return router
        .directory()
        .find(serverId)
        .map(server -> server.id() + " " + server.status() + " " + server.openAttempts() + " open")
        .orElse("");
  }

  /**
   * Takes changed settings: contacts, bounds of extra attempts and the grace of a stop. Requests in
   * progress go on.
   */
  public void reload(ForwardNodeSettings changed) {
    driver.run(
        () -> {
          boolean restart = settings.needsRestartFor(changed);
          settings = changed;
          peers.addContacts(addresses(changed));
          router.coordinator().reconfigure(changed.options().extraAttempts());
          logProcess("reloaded", restart ? "other addresses need a new process" : "");
        });
  }

  /** Says that changed settings were not taken. */
  public void refuseReload(String reason) {
    driver.run(() -> logProcess("not reloaded", reason));
  }

  /** A router that others ask at their start does not ask others: it must know first. */
  private ImmutableList<String> contactsOfOthers() {
    ImmutableList<String> all = addresses(settings);
    return all.contains(settings.peers().toString()) ? ImmutableList.of() : all;
  }

  private static ImmutableList<String> addresses(ForwardNodeSettings settings) {
    return settings.contacts().stream()
        .map(SocketAddressSetting::toString)
        .collect(ImmutableList.toImmutableList());
  }

  /** Runs a planned stop that begins now; completes when the process may exit. */
  public Future<Void> drain() {
    return drain(System.nanoTime());
  }

  /**
   * Runs a planned stop; completes when the process may exit.
   *
   * @param signalNanos when the grace of the stop began, by {@link System#nanoTime}
   */
  public Future<Void> drain(long signalNanos) {
    Promise<Void> drained = Promise.promise();
    driver.run(
        () -> {
          logProcess("stopping", "SIGTERM");
          openLog();
          router.onStopping();
          peers.leave();
          new PlannedStop(
                  vertx, driver, router, callers, delegated, settings.stopGrace(), signalNanos)
              .run(reason -> logProcess("stopped", reason))
              .onComplete(drained);
        });
    return drained.future();
  }

  private void startDecisions() {
    logProcess("started", "");
    afterStart(
        FIRST_WORK_POLL, LATEST_WARM_UP, () -> router.follower().view().isComplete(), this::warmUp);
  }

  /** Callers that are there already warm the process up themselves, and must not wait. */
  private void warmUp() {
    listedNanos = System.nanoTime();
    // Others may be needed for the first searches already.
    driver.run(peers::start);
    if (!settings.options().has(Mechanism.WARM_UP)) {
      onWarm(0, false);
      return;
    }
    afterStart(
        ROLE_POLL,
        TIME_TO_KNOW_FLEET,
        () -> peers.hasEstablishedPeer() || callers.connectionCount() > 0,
        this::warmUpForRole);
  }

  /**
   * In a fleet in which some routers gather, most run a search in several seconds: there compiling
   * its code ahead takes 1.4 s of processor and makes the first searches no faster.
   */
  private void warmUpForRole() {
    boolean alone = router.coordinator().searchRole() == SearchRole.DIRECT;
    if (callers.connectionCount() > 0 || !alone) {
      onWarm(0, false);
      return;
    }
    WarmUpPlan plan = WarmUpPlan.WHOLE_SEARCHES;
    warmUps.run(plan).onSuccess(searches -> onWarm(searches, plan.isDone(searches)));
  }

  /** Runs a task once a condition holds, or some time after the start in any case. */
  private void afterStart(
      Duration poll, Duration latest, BooleanSupplier condition, Runnable task) {
    vertx.setPeriodic(
        poll.toMillis(),
        id -> {
          boolean overdue = System.nanoTime() - startNanos > latest.toNanos();
          if (overdue || condition.getAsBoolean()) {
            vertx.cancelTimer(id);
            task.run();
          }
        });
  }

  /**
   * The log and the first messages to peers load much code. While callers wait for a process that
   * has just started, both have time; what is logged until then is kept.
   */
  private void onWarm(int searches, boolean compiled) {
    logProcess("warm", searches + " searches");
    if (compiled) {
      driver.run(() -> router.coordinator().onWarm());
    }
    if (compiled) {
      openLog();
    } else {
      long spread = random.nextLong(SECOND_WORK_SPREAD.toMillis());
      vertx.setTimer(LATEST_SECOND_WORK.toMillis() + spread, id -> openLog());
    }
    warm.complete(searches);
  }

  private void openLog() {
    if (logOpens) {
      return;
    }
    logOpens = true;
    vertx
        .executeBlocking(
            () -> {
              events.prepare();
              return events;
            })
        .onSuccess(
            prepared -> {
              metrics.open();
              vertx.setPeriodic(
                  EARLY_LINES_INTERVAL.toMillis(),
                  id -> {
                    if (prepared.open(EARLY_LINES_AT_ONCE)) {
                      vertx.cancelTimer(id);
                    }
                  });
            });
  }

  private RouterPeers createPeers(
      SocketAddressSetting bound, SystemClock clock, PeerEndpoint endpoint) {
    MemberRecord self =
        new MemberRecord(
            settings.id(),
            settings.options().zone(),
            bound.toString(),
            settings.options().cores(),
            System.currentTimeMillis(),
            0,
            MemberRecord.State.ALIVE);
    return new RouterPeers(
        self,
        addresses(settings),
        clock,
        timers,
        random,
        endpoint,
        events,
        serverId -> router.directory().onDraining(serverId, System.nanoTime()),
        new FollowedRevisions(() -> router.follower()),
        message -> router.coordinator().onPeerMessage(message));
  }

  private Future<?> listenForMetrics(OperatorServers operators) {
    return settings.metrics().isPresent()
        ? operators.listenForMetrics(settings.metrics().get())
        : Future.succeededFuture();
  }

  private boolean isReady() {
    boolean ready = router.isReady() && isWarmEnough();
    if (ready && !wasReady) {
      logProcess("ready", "");
    }
    wasReady = ready;
    return ready;
  }

  /**
   * A warm-up goes on for as long as other routers serve the callers. Where none is known, or
   * callers are here already, it would keep them waiting: searches are limited while the process is
   * still slow.
   */
  private boolean isWarmEnough() {
    if (warm.future().isComplete() || callers.connectionCount() > 0) {
      return true;
    }
    long warmingNanos = listedNanos == 0 ? 0 : System.nanoTime() - listedNanos;
    Duration longest = peers.hasEstablishedPeer() ? LATEST_READY : TIME_FOR_PEERS;
    return warmingNanos > longest.toNanos();
  }

  private void logProcess(String state, String reason) {
    double upMs = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    events.log(new RouterEvent.ProcessChanged(state, reason, upMs));
  }
}

package io.arrowarch.node;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.core.query.NodeIdentity;
import io.arrowarch.core.router.RouterCore;
import io.arrowarch.core.router.RouterOptions;
import io.arrowarch.core.router.RouterTransports;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * A router process: the core on one event loop, with its servers and clients.
 *
 * <p>A planned stop goes: peers are told and readiness ends while queries are still taken; then new
 * queries are refused; when the last answer is out, the process may exit.
 */
public final class RouterNode extends VerticleBase {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CALLER_IDLE_TIMEOUT = Duration.ofSeconds(75);
  private static final Duration CONFIGURATION_POLL = Duration.ofMillis(20);
  private static final Duration STOP_POLL = Duration.ofMillis(20);

  /** A caller's connection that was quiet for this long has no request on its way. */
  private static final Duration QUIET = Duration.ofSeconds(1);

  /** A stopping router waits no longer than this for callers to be quiet. */
  private static final Duration LONGEST_LINGER = Duration.ofSeconds(5);

  private static final Duration LAST_CLOSE = Duration.ofMillis(300);

  private final NodeSettings settings;
  private CoreDriver driver;
  private PeerEndpoint peers;
  private CallerApi callerApi;
  private OperatorApi operatorApi;
  private final OpenConnections callerConnections = new OpenConnections(System::nanoTime);
  private HttpServer callerServer;
  private SocketAddressSetting callerAddress;
  private SocketAddressSetting peerAddress;

  /** Creates a node; deploying it starts it. */
  public RouterNode(NodeSettings settings) {
    this.settings = settings;
  }

  /** Where callers and operators reach the node, with the port that the system chose. */
  public SocketAddressSetting callerAddress() {
    return callerAddress;
  }

  /** Where peers reach the node, with the port that the system chose. */
  public SocketAddressSetting peerAddress() {
    return peerAddress;
  }

  /** The version in force; 0 without one. May be read from any thread, and lags a moment then. */
  public long versionInForce() {
    return driver.core().configurationStore().inForceId().version();
  }

  @Override
  public Future<?> start() {
    driver = new CoreDriver(vertx, context);
    peers =
        new PeerEndpoint(
            vertx,
            new DataBindingPeerCodec(),
            message -> driver.run(() -> driver.core().onPeerMessage(message)),
            ImmutableMap.of());
    return peers
        .listen(settings.peers())
        .onSuccess(bound -> peerAddress = bound)
        .compose(bound -> startCore())
        .onSuccess(
            started ->
                logger.atInfo().log(
                    "Node: %s in zone %s serves callers at %s and peers at %s.",
                    settings.id(), settings.zone(), callerAddress, peerAddress));
  }

  /** Runs a planned stop; completes when the process may exit. */
  public Future<Void> drain() {
    Promise<Void> drained = Promise.promise();
    logger.atInfo().log("Node: stopping.");
    driver.run(
        () -> {
          callerApi.startClosing();
          driver.core().announceLeaving();
          vertx.setTimer(
              Math.max(1, settings.drainGrace().toMillis()), id -> refuseNewQueries(drained));
        });
    return drained.future();
  }

  private void refuseNewQueries(Promise<Void> drained) {
    driver.run(() -> driver.core().refuseNewQueries());
    long refusingSince = System.nanoTime();
    vertx.setPeriodic(
        STOP_POLL.toMillis(),
        id -> {
          if (mayClose(System.nanoTime() - refusingSince)) {
            vertx.cancelTimer(id);
            closeServers(drained);
          }
        });
  }

  private boolean mayClose(long refusingNanos) {
    boolean quiet = callerConnections.areQuietFor(QUIET.toNanos());
    boolean overdue = refusingNanos >= LONGEST_LINGER.toNanos();
    return driver.core().pendingQueries() == 0 && (quiet || overdue);
  }

  private void closeServers(Promise<Void> drained) {
    callerServer
        .shutdown(LAST_CLOSE.toMillis(), TimeUnit.MILLISECONDS)
        .compose(closed -> peers.close())
        .onComplete(
            closed -> {
              logger.atInfo().log("Node: stopped with no query in progress.");
              drained.complete();
            });
  }

  private Future<HttpServer> startCore() {
    long incarnation = System.currentTimeMillis();
    NodeIdentity identity = new NodeIdentity(settings.id(), settings.zone(), incarnation);
    BackendClient backends = new BackendClient(vertx, driver);
    PlatformClient platform = new PlatformClient(vertx, driver, settings.platform());
    RouterOptions options =
        new RouterOptions(
            identity,
            peerAddress.toString(),
            settings.contacts().stream()
                .map(SocketAddressSetting::toString)
                .collect(ImmutableList.toImmutableList()),
            settings.maximumQueries(),
            HedgePolicy.adaptive());
    RouterCore core =
        new RouterCore(
            options,
            new SystemClock(),
            RandomGenerator.getDefault(),
            new RouterTransports(backends, backends, peers, platform));
    driver.setCore(core);
    RouterMetrics metrics = new RouterMetrics();
    metrics.bind(core, backends, peers);
    callerApi =
        new CallerApi(
            driver,
            new RequestBodyReader(vertx, settings.maximumBodyBytes()),
            metrics,
            settings.id() + "-" + incarnation + "-");
    return listen(metrics)
        .onSuccess(
            server -> {
              driver.run(core::start);
              warmUpOnceConfigured();
            });
  }

  /** Runs on the event loop on purpose: until it is over, the node is not ready. */
  private void warmUpOnceConfigured() {
    vertx.setPeriodic(
        CONFIGURATION_POLL.toMillis(),
        id ->
            driver
                .core()
                .configurationStore()
                .inForce()
                .ifPresent(
                    configuration -> {
                      vertx.cancelTimer(id);
                      int queries = WarmUp.run(configuration);
                      operatorApi.onWarmedUp();
                      logger.atInfo().log("Node: warmed up by %d made-up queries.", queries);
                    }));
  }

  private Future<HttpServer> listen(RouterMetrics metrics) {
    Router router = Router.router(vertx);
    operatorApi = new OperatorApi(driver, metrics);
    operatorApi.mount(router);
    callerApi.mount(router);
    callerServer =
        vertx.createHttpServer(
            new HttpServerOptions()
                .setHost(settings.callers().host())
                .setPort(settings.callers().port())
                .setTcpNoDelay(true)
                .setIdleTimeout((int) CALLER_IDLE_TIMEOUT.toSeconds()));
    return callerServer
        .connectionHandler(callerConnections::onOpened)
        .requestHandler(
            request -> {
              callerConnections.onUsed();
              router.handle(request);
            })
        .listen()
        .onSuccess(server -> callerAddress = settings.callers().withPort(server.actualPort()));
  }
}

package io.arrowarch.node.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.feed.FeedTransport;
import io.arrowarch.core.forward.ForwardOptions;
import io.arrowarch.core.forward.ForwardingRouter;
import io.arrowarch.core.forward.RouterGroup;
import io.arrowarch.core.route.CallerLimits;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.server.ServerEntry;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.ReplyMemory;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.SystemClock;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Makes the virtual machine load and compile what requests need before the process says that it is
 * ready: searches go through a second router of the same process to a server of the same process,
 * all on the loopback address.
 */
final class ForwardWarmUp {
  /** More than a warm-up opens. */
  static final int CONNECTIONS = 64;

  static final String LOOPBACK = "127.0.0.1";
  private static final String HOST = "warm-up";
  private static final int AT_ONCE = 4;
  private static final int LISTINGS = 3;
  private static final int OK = 200;
  private static final int PART_BYTES = 1_024;
  private static final int RECORDS = 50;

  /** On slow machines; callers end it as soon as they come. */
  private static final Duration LONGEST = Duration.ofSeconds(10);

  private static final Duration TIME_LEFT = Duration.ofSeconds(2);
  static final Duration LAST_CLOSE = Duration.ofMillis(50);

  private final FeedCodec feedCodec;
  private final WarmUpCodec codec;
  private final BooleanSupplier needless;
  private final WarmUpPlan plan;
  private final TimerQueue timers = new TimerQueue();
  private final ForwardingRouter router;
  private final CallerServer callers;
  private final WarmUpOrigin origin;
  private final HttpServer backend;
  private final HttpClient client;
  private final long endNanos = System.nanoTime() + LONGEST.toNanos();
  private final Promise<Integer> ended = Promise.promise();
  private SocketAddressSetting address;
  private int sent;
  private int answered;

  /**
   * Prepares a warm-up.
   *
   * @param needless says that callers' requests warm the process themselves and must not wait
   */
  ForwardWarmUp(
      Vertx vertx,
      Context context,
      ForwardOptions options,
      CallerCodec callerCodec,
      AttemptCodec attemptCodec,
      FeedCodec feedCodec,
      WarmUpCodec codec,
      BooleanSupplier needless,
      WarmUpPlan plan) {
    this.feedCodec = feedCodec;
    this.needless = needless;
    this.plan = plan;
    this.codec = codec;
    EventLoopDriver driver =
        new EventLoopDriver(
            vertx, context, () -> timers.runDue(System.nanoTime()), timers::nextDueNanos);
    ServerConnections connections =
        new ServerConnections(vertx, new MalformedResponses(EventLog.NONE));
    ServerClient servers =
        new ServerClient(
            driver, () -> router().coordinator(), attemptCodec, connections, ReplyMemory.ofHeap());
    this.router =
        new ForwardingRouter(
            options,
            new SystemClock(),
            timers,
            driver,
            RandomGenerator.getDefault(),
            servers,
            new SilentFeed(),
            EventLog.NONE,
            RouterGroup.ofCount(1));
    this.callers =
        new CallerServer(
            vertx,
            driver,
            router,
            callerCodec,
            new ForwardMetrics(),
            CallerAccounts.ofHeap(new SystemClock(), ForwardWarmUp.CONNECTIONS));
    this.origin =
        new WarmUpOrigin(
            vertx, context, options, callerCodec, attemptCodec, connections, router, driver, HOST);
    this.backend =
        vertx
            .createHttpServer(
                new HttpServerOptions()
                    .setHost(LOOPBACK)
                    .setPort(0)
                    .setPerMessageWebSocketCompressionSupported(false)
                    .setPerFrameWebSocketCompressionSupported(false))
            .requestHandler(this::answer);
    this.client =
        vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(AT_ONCE));
  }

  /** Runs; completes with the number of searches answered, and never fails. */
  Future<Integer> run() {
    for (int i = 0; i < LISTINGS; i++) {
      feedCodec.decode(FeedCodec.Question.LISTING, OK, Optional.empty(), codec.listing());
    }
    return backend
        .listen()
        .compose(
            bound -> {
              configure(router, bound.actualPort());
              configure(origin.router(), bound.actualPort());
              return callers.listen(new SocketAddressSetting(LOOPBACK, 0));
            })
        .compose(
            bound -> {
              address = bound;
              return plan.handedOn() ? origin.listen() : Future.succeededFuture(bound);
            })
        .compose(
            bound -> {
              address = bound;
              IntStream.range(0, AT_ONCE).forEach(lane -> search());
              return ended.future();
            })
        .eventually(this::close)
        .otherwise(0);
  }

  private ForwardingRouter router() {
    return router;
  }

  private void configure(ForwardingRouter router, int port) {
    ImmutableList<String> shards =
        IntStream.range(0, plan.shards())
            .mapToObj(shard -> "shard-" + shard)
            .collect(ImmutableList.toImmutableList());
    for (String shard : shards) {
      router
          .directory()
          .onEntry(
              new ServerEntry(
                  shard + "-server",
                  shard,
                  LOOPBACK + ":" + port,
                  HOST,
                  AT_ONCE,
                  false,
                  Duration.ZERO),
              System.nanoTime());
    }
    Route route =
        new Route(
            "warm-up",
            HOST,
            "/",
            true,
            TIME_LEFT,
            TIME_LEFT,
            2,
            0,
            true,
            ImmutableSet.of(),
            new RouteTarget.AllShards(shards, RECORDS, 1));
    router
        .coordinator()
        .reconfigure(
            new RoutingConfiguration(
                1, ImmutableList.of(route), ImmutableMap.of(), CallerLimits.DEFAULT));
    router.coordinator().onListed();
    router.coordinator().onWarm();
  }

  private void search() {
    boolean enough = sent >= plan.searches() || System.nanoTime() >= endNanos;
    if (enough || needless.getAsBoolean()) {
      if (answered == sent) {
        ended.tryComplete(answered);
      }
      return;
    }
    sent++;
    client
        .request(
            new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(address.host())
                .setPort(address.port())
                .setURI("/search?n=" + sent))
        .compose(this::send)
        .compose(HttpClientResponse::body)
        .onComplete(
            done -> {
              answered++;
              search();
            });
  }

  private Future<HttpClientResponse> send(HttpClientRequest request) {
    request.putHeader("Host", HOST);
    codec.encodeRequest("warm-up-" + sent, TIME_LEFT, request.headers());
    return request.send();
  }

  private void answer(HttpServerRequest request) {
    byte[] part = new byte[PART_BYTES];
    RandomGenerator.getDefault().nextBytes(part);
    codec.encodeReply(request.headers(), request.response().headers());
    request.response().end(Buffer.buffer(part));
  }

  private Future<Void> close() {
    return client
        .close()
        .eventually(() -> callers.close(LAST_CLOSE))
        .eventually(() -> plan.handedOn() ? origin.close() : Future.succeededFuture())
        .eventually(() -> backend.shutdown(LAST_CLOSE.toMillis(), TimeUnit.MILLISECONDS));
  }

  /** A store that never answers. */
  static final class SilentFeed implements FeedTransport {
    @Override
    public void list(long call, Optional<String> afterKey, Duration timeout) {}

    @Override
    public void watch(long call, StoreRevision after, Duration longestWait, Duration timeout) {}

    @Override
    public void watchPeer(
        long call, String address, StoreRevision after, Duration wait, Duration timeout) {}

    @Override
    public void listFromPeer(String address) {}
  }
}

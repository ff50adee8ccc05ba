package io.arrowarch.node.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.forward.DelegateTransport;
import io.arrowarch.core.forward.ForwardOptions;
import io.arrowarch.core.forward.ForwardingRouter;
import io.arrowarch.core.forward.RouterGroup;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.ReplyMemory;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.SystemClock;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.random.RandomGenerator;

/**
 * A router of a {@link ForwardWarmUp} that hands its searches to another of the same process, as
 * routers of a large fleet do.
 */
final class WarmUpOrigin implements RouterGroup {
  /** So many that servers have no connections for all. */
  private static final int ROUTERS = 1_000;

  private static final String GATHERER = "warm-up-gatherer";

  private final TimerQueue timers = new TimerQueue();
  private final DelegateClient delegates;
  private final HttpServer peers;
  private final ForwardingRouter router;
  private final CallerServer callers;
  private final String zone;
  private ImmutableList<LiveRouter> gatherers = ImmutableList.of();

  /**
   * Creates a router.
   *
   * @param gatherer runs its searches
   * @param gathererDriver calls the gatherer
   * @param zone of the servers
   */
  WarmUpOrigin(
      Vertx vertx,
      Context context,
      ForwardOptions options,
      CallerCodec callerCodec,
      AttemptCodec attemptCodec,
      ServerConnections connections,
      ForwardingRouter gatherer,
      EventLoopDriver gathererDriver,
      String zone) {
    this.zone = zone;
    EventLoopDriver driver =
        new EventLoopDriver(
            vertx, context, () -> timers.runDue(System.nanoTime()), timers::nextDueNanos);
    this.delegates =
        new DelegateClient(
            vertx, driver, () -> router().coordinator(), new MalformedResponses(EventLog.NONE));
    this.peers =
        vertx
            .createHttpServer(new HttpServerOptions().setHost(ForwardWarmUp.LOOPBACK).setPort(0))
            .requestHandler(new DelegateServer(gathererDriver, () -> gatherer));
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
            new ForwardWarmUp.SilentFeed(),
            EventLog.NONE,
            this);
    this.callers =
        new CallerServer(
            vertx,
            driver,
            router,
            callerCodec,
            new ForwardMetrics(),
            CallerAccounts.ofHeap(new SystemClock(), ForwardWarmUp.CONNECTIONS));
  }

  ForwardingRouter router() {
    return router;
  }

  /** Completes with the address for callers. */
  Future<SocketAddressSetting> listen() {
    return peers
        .listen()
        .compose(
            bound -> {
              String address = ForwardWarmUp.LOOPBACK + ":" + bound.actualPort();
              gatherers = ImmutableList.of(new LiveRouter(GATHERER, 1, zone, address, 1));
              return callers.listen(new SocketAddressSetting(ForwardWarmUp.LOOPBACK, 0));
            });
  }

  Future<?> close() {
    return callers.close(ForwardWarmUp.LAST_CLOSE).eventually(() -> peers.close());
  }

  @Override
  public int count() {
    return ROUTERS;
  }

  @Override
  public ImmutableList<LiveRouter> liveRouters() {
    return gatherers;
  }

  @Override
  public DelegateTransport transport() {
    return delegates;
  }
}

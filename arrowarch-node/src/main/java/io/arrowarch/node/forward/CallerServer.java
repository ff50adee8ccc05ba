package io.arrowarch.node.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.forward.ForwardingRouter;
import io.arrowarch.core.memory.CallerAccount;
import io.arrowarch.core.route.CallerLimits;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.http.RequestGuard;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Serves callers. Each request gets exactly one answer, whole and with its length; a caller that
 * leaves cancels its request.
 */
final class CallerServer {
  private static final int MAXIMUM_HEADER_BYTES = 64 << 10;
  private static final int MAXIMUM_LINE_BYTES = 32 << 10;
  private static final int BACKLOG = 1024;
  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

  /** As many bodies of the largest size are read after a refusal, so that its caller reads it. */
  private static final int DISCARDED_BODIES = 2;

  private final Vertx vertx;
  private final EventLoopDriver driver;
  private final ForwardingRouter router;
  private final CallerCodec codec;
  private final ForwardMetrics metrics;
  private final CallerAccount account;
  private final Map<HttpConnection, CallerConnection> connections = new HashMap<>();
  private HttpServer server;

  CallerServer(
      Vertx vertx,
      EventLoopDriver driver,
      ForwardingRouter router,
      CallerCodec codec,
      ForwardMetrics metrics,
      CallerAccount account) {
    this.vertx = vertx;
    this.driver = driver;
    this.router = router;
    this.codec = codec;
    this.metrics = metrics;
    this.account = account;
  }

  Future<SocketAddressSetting> listen(SocketAddressSetting address) {
    server =
        vertx.createHttpServer(
            new HttpServerOptions()
                .setHost(address.host())
                .setPort(address.port())
                .setTcpNoDelay(true)
                .setAcceptBacklog(BACKLOG)
                .setPerMessageWebSocketCompressionSupported(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setHttp2ClearTextEnabled(false)
                .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                .setMaxInitialLineLength(MAXIMUM_LINE_BYTES));
    vertx.setPeriodic(SWEEP_INTERVAL.toMillis(), id -> sweep());
    return server
        .connectionHandler(this::onConnection)
        .requestHandler(this::onRequest)
        .listen()
        .map(bound -> address.withPort(bound.actualPort()));
  }

  /** Requests whose answer has not been written. */
  boolean isBusy() {
    return connections.values().stream().anyMatch(CallerConnection::isBusy);
  }

  /** Callers' connections. */
  int connectionCount() {
    return connections.size();
  }

  /** Closes connections on which no request is in progress. */
  void closeIdle(Duration rest) {
    for (CallerConnection connection : ImmutableList.copyOf(connections.values())) {
      if (connection.hasRestedFor(rest)) {
        connection.close();
      }
    }
  }

  /**
   * Accepts no more connections and closes those that are there, each once its answer is written.
   *
   * @param timeout after this time connections are closed in any case
   */
  Future<Void> close(Duration timeout) {
    return server.shutdown(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void onConnection(HttpConnection connection) {
    Optional<CallerAccount.Holder> holder = account.connect(() -> RequestGuard.abort(connection));
    if (holder.isEmpty()) {
      RequestGuard.abort(connection);
      return;
    }
    RequestGuard guard = RequestGuard.install(connection, this::maximumHeadBytes, holder.get());
    connections.put(connection, new CallerConnection(connection, guard, holder.get()));
    connection.closeHandler(
        closed -> {
          holder.get().close();
          connections.remove(connection);
        });
  }

  private void sweep() {
    CallerLimits limits = limits();
    closeIdle(limits.idleTimeout());
    long mostDiscarded = (long) DISCARDED_BODIES * limits.maximumBodyBytes();
    for (CallerConnection connection : ImmutableList.copyOf(connections.values())) {
      if (connection.hasAwaitedHeadFor(limits.headerTimeout())
          || connection.hasStoppedReading(limits.idleTimeout())
          || connection.hasLingered(mostDiscarded)) {
        connection.abort();
      }
    }
  }

  /** The request line is not among the header fields that are limited. */
  private int maximumHeadBytes() {
    return Math.min(MAXIMUM_HEADER_BYTES, limits().maximumHeaderBytes()) + MAXIMUM_LINE_BYTES;
  }

  private CallerLimits limits() {
    return router.configuration().map(RoutingConfiguration::limits).orElse(CallerLimits.DEFAULT);
  }

  private void onRequest(HttpServerRequest request) {
    CallerConnection connection = connections.get(request.connection());
    if (connection == null) {
      // Its connection has been closed meanwhile.
      return;
    }
    connection.onRequest();
    new CallerExchange(vertx, driver, router, codec, metrics, connection, request)
        .start(limits().maximumBodyBytes());
  }
}

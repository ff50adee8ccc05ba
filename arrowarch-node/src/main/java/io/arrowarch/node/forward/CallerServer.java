package io.arrowarch.node.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.forward.ForwardHandle;
import io.arrowarch.core.forward.ForwardedAnswer;
import io.arrowarch.core.forward.ForwardedRequest;
import io.arrowarch.core.forward.ForwardingRouter;
import io.arrowarch.core.forward.HeaderField;
import io.arrowarch.core.forward.Payload;
import io.arrowarch.core.route.CallerLimits;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.RequestBodyReader;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.http.RequestGuard;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
  private static final double MILLIS_PER_SECOND = 1e3;
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  private final Vertx vertx;
  private final EventLoopDriver driver;
  private final ForwardingRouter router;
  private final CallerCodec codec;
  private final ForwardMetrics metrics;
  private final Map<HttpConnection, CallerConnection> connections = new HashMap<>();
  private HttpServer server;

  CallerServer(
      Vertx vertx,
      EventLoopDriver driver,
      ForwardingRouter router,
      CallerCodec codec,
      ForwardMetrics metrics) {
    this.vertx = vertx;
    this.driver = driver;
    this.router = router;
    this.codec = codec;
    this.metrics = metrics;
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
                .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                .setHandle100ContinueAutomatically(true));
    vertx.setPeriodic(SWEEP_INTERVAL.toMillis(), id -> closeRested());
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
    RequestGuard.install(connection, MAXIMUM_HEADER_BYTES + MAXIMUM_LINE_BYTES);
    connections.put(connection, new CallerConnection(connection));
    connection.closeHandler(closed -> connections.remove(connection));
  }

  private void closeRested() {
    closeIdle(limits().idleTimeout());
  }

  private CallerLimits limits() {
    return router.configuration().map(RoutingConfiguration::limits).orElse(CallerLimits.DEFAULT);
  }

  private void onRequest(HttpServerRequest request) {
    CallerConnection connection = connections.get(request.connection());
    if (connection != null) {
      connection.onRequest();
    }
    Exchange exchange = new Exchange(request, connection);
    new RequestBodyReader(vertx, limits().maximumBodyBytes())
        .read(
            request,
            body ->
                body.peek(bytes -> exchange.submit(bytes)).peekLeft(exchange::refuseUnreadBody));
  }

  /** One request and its answer. */
  private final class Exchange {
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final CallerConnection connection;
    private final long startNanos = System.nanoTime();
    private final Duration unread;
    private ForwardHandle handle = () -> {};
    private boolean answered;

    Exchange(HttpServerRequest request, CallerConnection connection) {
      this.request = request;
      this.response = request.response();
      this.connection = connection;
      this.unread = driver.longestWaitUnread(isOnNewConnection());
    }

    private boolean isOnNewConnection() {
      return connection != null && connection.isOnFirstRequest();
    }

    void submit(Buffer body) {
      List<String> hosts = request.headers().getAll(HttpHeaders.HOST);
      if (hosts.size() != 1 || !request.uri().startsWith("/")) {
        answerError(QueryError.of(ErrorKind.MALFORMED_REQUEST, "one host and a path are needed"));
        return;
      }
      codec
          .decode(
              request.method().name(),
              hosts.get(0),
              request.uri(),
              request.headers(),
              Payload.of(body.getBytes()))
          .map(this::ofConnection)
          .peek(this::forward)
          .peekLeft(this::answerError);
    }

    private ForwardedRequest ofConnection(ForwardedRequest decoded) {
      Duration reading = Duration.ofNanos(System.nanoTime() - startNanos);
      ForwardedRequest read = decoded.withUnread(unread.plus(reading));
      return isOnNewConnection() ? read.onNewConnection() : read;
    }

    /** The rest of the body may be on its way, so the connection cannot be used again. */
    void refuseUnreadBody(QueryError error) {
      response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
      answerError(error);
    }

    private void forward(ForwardedRequest forwarded) {
      driver.run(
          () -> {
            // Before the request is submitted: its answer may be written at once.
            response.closeHandler(closed -> onCallerGone());
            handle = router.submit(forwarded, outcome -> answer(forwarded, outcome));
          });
    }

    private void onCallerGone() {
      if (!answered) {
        driver.run(handle::cancel);
      }
    }

    private void answer(ForwardedRequest forwarded, Either<QueryError, ForwardedAnswer> outcome) {
      metrics.onOutcome(forwarded, outcome, System.nanoTime() - startNanos);
      outcome.peek(answer -> answerSuccess(forwarded, answer)).peekLeft(this::answerError);
    }

    private void answerSuccess(ForwardedRequest forwarded, ForwardedAnswer answer) {
      codec.encode(forwarded, answer, response.headers());
      if (answer instanceof ForwardedAnswer.FromServer own) {
        for (HeaderField header : own.reply().headers()) {
          response.headers().add(header.name(), header.value());
        }
        end(own.reply().status(), Buffer.buffer(own.reply().body().bytes()));
      } else if (answer instanceof ForwardedAnswer.Merged merged) {
        end(OK, Buffer.buffer(merged.records().bytes()));
      }
    }

    private void answerError(QueryError error) {
      error
          .retryAfter()
          .ifPresent(
              delay ->
                  response.putHeader(
                      HttpHeaders.RETRY_AFTER,
                      Double.toString(delay.toMillis() / MILLIS_PER_SECOND)));
      response.putHeader(HttpHeaders.CONTENT_TYPE, "text/plain");
      end(statusOf(error), Buffer.buffer(error.kind().wireName() + ": " + error.detail() + "\n"));
    }

    private void end(int status, Buffer body) {
      answered = true;
      if (connection != null) {
        connection.onAnswered();
      }
      if (response.ended() || response.closed()) {
        return;
      }
      if (router.isStopping()) {
        response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
      }
      response.setStatusCode(status).end(body);
    }
  }

  /**
   * The status of an error: one that promises that the request has not run where that is proven,
   * and only there.
   */
  private static int statusOf(QueryError error) {
    int status = error.kind().httpStatus();
    if (error.executed() == Executed.NO) {
      return status == BAD_GATEWAY || status == GATEWAY_TIMEOUT ? SERVICE_UNAVAILABLE : status;
    }
    return status == SERVICE_UNAVAILABLE ? BAD_GATEWAY : status;
  }
}

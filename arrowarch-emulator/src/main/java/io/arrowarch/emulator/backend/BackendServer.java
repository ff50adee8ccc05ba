package io.arrowarch.emulator.backend;

import com.google.common.flogger.FluentLogger;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.wire.BackendReply;
import io.arrowarch.core.wire.BackendReport;
import io.arrowarch.core.wire.BackendRequest;
import io.arrowarch.core.wire.WireCodec;
import io.arrowarch.emulator.ControlBody;
import io.arrowarch.emulator.EventLoopTimers;
import io.arrowarch.node.SystemClock;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** {@link BackendModel} behind HTTP, as docs/PROTOCOL.md describes, with faults on demand. */
public final class BackendServer extends VerticleBase {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double SLOW_FACTOR = 10;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final int TOO_MANY_BYTES = 9 << 20;
  private static final long DRAIN_LINGER_MILLIS = 3_000;
  private static final long DRAIN_POLL_MILLIS = 20;

  private final BackendOptions options;
  private final String host;
  private final int port;
  private final ServiceTimes serviceTimes;
  private final long firstSnapshot;
  private final ExecutionLog log = new ExecutionLog();
  private BackendModel model;
  private EventLoopTimers timers;
  private HttpServer server;
  private WireFault wireFault = WireFault.NONE;
  private boolean lieAboutDrain;

  /** Creates a server; deploying it starts it. */
  public BackendServer(
      BackendOptions options,
      String host,
      int port,
      ServiceTimes serviceTimes,
      long firstSnapshot) {
    this.options = options;
    this.host = host;
    this.port = port;
    this.serviceTimes = serviceTimes;
    this.firstSnapshot = firstSnapshot;
  }

  /** The port that it listens at. */
  public int actualPort() {
    return server.actualPort();
  }

  @Override
  public Future<?> start() {
    RouterClock clock = new SystemClock();
    TimerQueue queue = new TimerQueue();
    timers = new EventLoopTimers(vertx, queue);
    model =
        new BackendModel(
            options,
            Long.toString(System.currentTimeMillis()),
            firstSnapshot,
            serviceTimes,
            clock,
            queue,
            RandomGenerator.getDefault(),
            log);
    Router router = Router.router(vertx);
    router.post("/v1/attempts").handler(context -> onAttempt(context.request()));
    router.get("/v1/health").handler(this::onHealth);
    router
        .post("/control")
        .handler(
            context ->
                ControlBody.read(
                    context, BackendControl.class, control -> timers.run(() -> apply(control))));
    router.get("/control/executions").handler(this::onExecutions);
    server =
        vertx
            .createHttpServer(
                new HttpServerOptions().setHost(host).setPort(port).setTcpNoDelay(true))
            .requestHandler(router);
    return server
        .listen()
        .onSuccess(
            bound ->
                logger.atInfo().log(
                    "Backend: %s serves %s at %s:%d.",
                    options.id(), options.shardByLayout(), host, bound.actualPort()));
  }

  /** Runs a planned stop: refuses new work, finishes the rest, lingers so that routers learn. */
  public Future<Void> drain() {
    Promise<Void> drained = Promise.promise();
    context.runOnContext(
        ignored -> {
          model.drain();
          vertx.setTimer(DRAIN_LINGER_MILLIS, timer -> closeWhenIdle(drained));
        });
    return drained.future();
  }

  private void closeWhenIdle(Promise<Void> drained) {
    if (!model.isIdle()) {
      vertx.setTimer(DRAIN_POLL_MILLIS, timer -> closeWhenIdle(drained));
      return;
    }
    server
        .shutdown(DRAIN_LINGER_MILLIS, TimeUnit.MILLISECONDS)
        .onComplete(closed -> drained.complete());
  }

  private void onAttempt(HttpServerRequest request) {
    request
        .body()
        .onSuccess(
            body ->
                WireCodec.decode(body.getBytes(), BackendRequest.class)
                    .onSuccess(attempt -> timers.run(() -> take(attempt, request.response())))
                    .onFailure(
                        failure ->
                            request
                                .response()
                                .setStatusCode(BAD_REQUEST)
                                .end("not a valid attempt: " + failure.getMessage() + "\n")));
  }

  private void take(BackendRequest attempt, HttpServerResponse response) {
    if (wireFault == WireFault.RESET_BEFORE_RUN) {
      response.reset();
      return;
    }
    // A router cancels by closing the connection before the reply.
    response.closeHandler(closed -> timers.run(() -> cancelUnlessEnded(attempt, response)));
    model.submit(attempt, reply -> send(reply, response));
  }

  private void cancelUnlessEnded(BackendRequest attempt, HttpServerResponse response) {
    if (!response.ended()) {
      model.cancel(attempt.attempt());
    }
  }

  private void send(BackendReply reply, HttpServerResponse response) {
    if (response.ended() || response.closed()) {
      return;
    }
    byte[] bytes = WireCodec.encode(reply);
    switch (wireFault) {
      case NONE, RESET_BEFORE_RUN -> response.end(Buffer.buffer(bytes));
      case GARBAGE -> response.end("<html>not a reply</html>");
      case TRUNCATED -> {
        response.putHeader("Content-Length", Integer.toString(bytes.length));
        response
            .write(Buffer.buffer(bytes).slice(0, bytes.length / 2))
            .onComplete(written -> response.reset());
      }
      case TOO_LONG -> response.end(Buffer.buffer(new byte[TOO_MANY_BYTES]));
      case WRONG_ATTEMPT -> response.end(Buffer.buffer(WireCodec.encode(withWrongAttempt(reply))));
      case NEVER -> {}
      case RESET_AFTER_RUN -> response.reset();
      case UNMARKED_503 -> response.setStatusCode(UNAVAILABLE).end("unavailable\n");
    }
  }

  private static BackendReply withWrongAttempt(BackendReply reply) {
    return new BackendReply(
        reply.attempt() + "0",
        reply.layout(),
        reply.shard(),
        reply.snapshot(),
        reply.outcome(),
        reply.reason(),
        reply.hits(),
        reply.document(),
        reply.report());
  }

  private void onHealth(RoutingContext context) {
    BackendReport report = model.report();
    if (lieAboutDrain) {
      report =
          new BackendReport(
              report.backend(),
              report.incarnation(),
              false,
              report.running(),
              report.waiting(),
              report.snapshots());
    }
    context.response().end(Buffer.buffer(WireCodec.encode(report)));
  }

  private void apply(BackendControl control) {
    control.wireFault().ifPresent(fault -> wireFault = fault);
    control.lieAboutDrain().ifPresent(lie -> lieAboutDrain = lie);
    control.drain().filter(wanted -> wanted).ifPresent(wanted -> model.drain());
    control
        .slowFraction()
        .ifPresent(fraction -> model.setServiceTimes(serviceTimes.withSlow(fraction, SLOW_FACTOR)));
    for (int i = 0; i < control.publish().orElse(0); i++) {
      model.publishNext();
    }
  }

  private void onExecutions(RoutingContext context) {
    context.response().end(Buffer.buffer(WireCodec.encode(log.runs())));
  }
}

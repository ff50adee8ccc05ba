package io.arrowarch.node.forward;

import io.arrowarch.node.SocketAddressSetting;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;

/** What a router answers to those who run it: whether it is ready, and its figures. */
final class OperatorServers {
  private static final String READY_PATH = "/readyz";
  private static final String METRICS_PATH = "/metrics";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final Vertx vertx;
  private final BooleanSupplier ready;
  private final ForwardMetrics metrics;

  OperatorServers(Vertx vertx, BooleanSupplier ready, ForwardMetrics metrics) {
    this.vertx = vertx;
    this.ready = ready;
    this.metrics = metrics;
  }

  /** Completes with the address, with the port that the system chose. */
  Future<SocketAddressSetting> listenForReadiness(SocketAddressSetting address) {
    return serverAt(address)
        .requestHandler(this::answerReadiness)
        .listen()
        .map(bound -> address.withPort(bound.actualPort()));
  }

  Future<?> listenForMetrics(SocketAddressSetting address) {
    return serverAt(address).requestHandler(this::answerMetrics).listen();
  }

  private HttpServer serverAt(SocketAddressSetting address) {
    return vertx.createHttpServer(
        new HttpServerOptions().setHost(address.host()).setPort(address.port()));
  }

  private void answerReadiness(HttpServerRequest request) {
    boolean yes = request.path().equals(READY_PATH) && ready.getAsBoolean();
    request.response().setStatusCode(yes ? OK : UNAVAILABLE).end();
  }

  private void answerMetrics(HttpServerRequest request) {
    if (request.path().equals(METRICS_PATH)) {
      request.response().end(metrics.scrape());
    } else {
      request.response().setStatusCode(NOT_FOUND).end();
    }
  }
}

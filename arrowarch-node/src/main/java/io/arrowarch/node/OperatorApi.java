package io.arrowarch.node;

import io.arrowarch.core.router.RouterStatus;
import io.arrowarch.core.wire.WireCodec;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.function.Function;

/** What operators read: status, health and metrics. Nothing can be changed here. */
final class OperatorApi {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final String JSON = "application/json";
  private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4";

  private final CoreDriver driver;
  private final RouterMetrics metrics;
  private boolean warmedUp;

  OperatorApi(CoreDriver driver, RouterMetrics metrics) {
    this.driver = driver;
    this.metrics = metrics;
  }

  /** Lets the node be ready from now on. */
  void onWarmedUp() {
    warmedUp = true;
  }

  void mount(Router router) {
    router.get("/v1/status").handler(context -> sendStatus(context, status -> status));
    router.get("/v1/backends").handler(context -> sendStatus(context, RouterStatus::backends));
    router.get("/v1/members").handler(context -> sendStatus(context, RouterStatus::members));
    router.get("/v1/config").handler(this::sendConfiguration);
    router.get("/healthz").handler(context -> context.response().end("alive\n"));
    router.get("/readyz").handler(this::sendReadiness);
    router.get("/metrics").handler(this::sendMetrics);
  }

  private void sendStatus(RoutingContext context, Function<RouterStatus, Object> view) {
    sendJson(context, view.apply(driver.core().status()));
  }

  private void sendConfiguration(RoutingContext context) {
    driver
        .core()
        .configurationStore()
        .inForce()
        .ifPresentOrElse(
            configuration -> sendJson(context, configuration.document()),
            () -> context.response().setStatusCode(UNAVAILABLE).end("no configuration\n"));
  }

  private void sendReadiness(RoutingContext context) {
    boolean ready = warmedUp && driver.core().isReady();
    context
        .response()
        .setStatusCode(ready ? OK : UNAVAILABLE)
        .end(ready ? "ready\n" : "not ready\n");
  }

  private void sendMetrics(RoutingContext context) {
    context.response().putHeader(HttpHeaders.CONTENT_TYPE, PROMETHEUS_TEXT).end(metrics.scrape());
  }

  private static void sendJson(RoutingContext context, Object value) {
    context
        .response()
        .putHeader(HttpHeaders.CONTENT_TYPE, JSON)
        .end(Buffer.buffer(WireCodec.encode(value)));
  }
}

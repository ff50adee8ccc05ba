package io.arrowarch.emulator.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.arrowarch.core.wire.MachineList;
import io.arrowarch.core.wire.WireCodec;
import io.arrowarch.emulator.ControlBody;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/**
 * Stand-in for the platform: a configuration document and a list of machines that routers can only
 * read. Tests and operators of the stand-in change both through {@code /control}.
 */
public final class PlatformServer extends VerticleBase {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int UNAVAILABLE = 503;

  private final String host;
  private final int port;
  private HttpServer server;
  private byte[] current;
  private byte[] frozenDocument = new byte[0];
  private MachineList machines = new MachineList(ImmutableList.of());
  private boolean down;
  private boolean frozen;
  private boolean truncated;

  /**
   * Creates a stand-in; deploying it starts it.
   *
   * @param document the document to serve first, as JSON
   */
  public PlatformServer(String host, int port, byte[] document) {
    this.host = host;
    this.port = port;
    this.current = document;
  }

  /** The port that it listens at. */
  public int actualPort() {
    return server.actualPort();
  }

  @Override
  public Future<?> start() {
    Router router = Router.router(vertx);
    router.get("/v1/configuration").handler(this::onConfiguration);
    router.get("/v1/machines").handler(this::onMachines);
    router
        .post("/control")
        .handler(context -> ControlBody.read(context, PlatformControl.class, this::apply));
    server =
        vertx
            .createHttpServer(new HttpServerOptions().setHost(host).setPort(port))
            .requestHandler(router);
    return server
        .listen()
        .onSuccess(
            bound -> logger.atInfo().log("Platform: serves at %s:%d.", host, bound.actualPort()));
  }

  private void onConfiguration(RoutingContext context) {
    byte[] document = frozen ? frozenDocument : current;
    Buffer body = Buffer.buffer(document);
    answer(context, truncated ? body.slice(0, body.length() / 2) : body);
  }

  private void onMachines(RoutingContext context) {
    answer(context, Buffer.buffer(WireCodec.encode(machines)));
  }

  private void answer(RoutingContext context, Buffer body) {
    if (down) {
      context.response().setStatusCode(UNAVAILABLE).end("down\n");
    } else {
      context.response().end(body);
    }
  }

  private void apply(PlatformControl control) {
    if (control.frozen().orElse(false) && !frozen) {
      frozenDocument = current;
    }
    control.frozen().ifPresent(value -> frozen = value);
    control.configuration().ifPresent(value -> current = WireCodec.encode(value));
    control.machines().ifPresent(value -> machines = value);
    control.down().ifPresent(value -> down = value);
    control.truncated().ifPresent(value -> truncated = value);
  }
}

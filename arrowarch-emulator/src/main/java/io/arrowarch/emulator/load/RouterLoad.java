package io.arrowarch.emulator.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.arrowarch.core.wire.WireCodec;
import io.arrowarch.node.CallerProtocol;
import io.arrowarch.node.SocketAddressSetting;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;

/** Load through routers, as callers see it. */
public final class RouterLoad {
  private static final int CONNECTIONS_PER_ROUTER = 256;
  private static final long DEADLINE_MILLIS = Duration.ofSeconds(2).toMillis();
  private static final String CONNECTION_FAILED = "connection-failed";

  private final Vertx vertx;
  private final LoadOptions options;
  private final HttpClient client;

  /** Creates a load; {@link #run} starts it. */
  public RouterLoad(Vertx vertx, LoadOptions options) {
    this.vertx = vertx;
    this.options = options;
    this.client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_ROUTER));
  }

  /** Runs the load to its end. */
  public Future<LoadResult> run() {
    LoadGenerator generator = new LoadGenerator(options, this::send);
    return vertx.deployVerticle(generator).compose(deployed -> generator.done());
  }

  private void send(long number, LoadGenerator.Recorder recorder) {
    send(number, 0, recorder);
  }

  /**
   * Sends a request to the router that is its turn, or, where no connection can be opened, to the
   * next: a caller turns away from a router that has stopped.
   */
  private void send(long number, int refusals, LoadGenerator.Recorder recorder) {
    int routers = options.targets().size();
    SocketAddressSetting target = options.targets().get((int) ((number + refusals) % routers));
    client
        .request(requestTo(target))
        .onSuccess(opened -> send(number, opened, recorder))
        .onFailure(
            failure -> {
              if (refusals + 1 < routers) {
                send(number, refusals + 1, recorder);
              } else {
                recorder.onError(CONNECTION_FAILED);
              }
            });
  }

  private void send(long number, HttpClientRequest opened, LoadGenerator.Recorder recorder) {
    opened
        .send("{\"query\":{\"text\":\"load " + number + "\"}}")
        .compose(response -> response.body())
        .onSuccess(answer -> record(answer, recorder))
        .onFailure(failure -> recorder.onError(CONNECTION_FAILED));
  }

  private RequestOptions requestTo(SocketAddressSetting target) {
    return new RequestOptions()
        .setMethod(HttpMethod.POST)
        .setHost(target.host())
        .setPort(target.port())
        .setURI(CallerProtocol.QUERY_PATH + options.kind())
        .putHeader(CallerProtocol.DEADLINE_HEADER, Long.toString(DEADLINE_MILLIS));
  }

  private static void record(Buffer answer, LoadGenerator.Recorder recorder) {
    JsonNode body = WireCodec.decodeTree(answer.getBytes()).get();
    if (body.has("error")) {
      recorder.onError(body.path("error").path("kind").asText());
    } else {
      recorder.onAnswer(body.path("coverage").path("fraction").asDouble());
    }
  }
}

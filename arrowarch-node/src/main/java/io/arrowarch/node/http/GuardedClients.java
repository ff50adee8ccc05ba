package io.arrowarch.node.http;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.function.Function;

/** Creates HTTP clients that read the responses on all their connections strictly. */
public final class GuardedClients {
  private GuardedClients() {}

  /**
   * Creates a client of HTTP/1.1 with a pool of connections.
   *
   * @param listeners makes the listener for a connection to an address, as HOST:PORT
   */
  public static HttpClient create(
      Vertx vertx,
      HttpClientOptions options,
      PoolOptions pool,
      Function<String, ResponseListener> listeners) {
    return vertx
        .httpClientBuilder()
        .with(ResponseGuards.allowHeads(options))
        .with(pool)
        .withConnectHandler(
            connection ->
                ResponseGuards.install(
                    connection, listeners.apply(connection.remoteAddress().toString())))
        .build();
  }
}

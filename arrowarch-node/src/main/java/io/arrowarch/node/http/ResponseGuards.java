package io.arrowarch.node.http;

import io.netty.channel.ChannelPipeline;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.lang.reflect.Field;

/** Puts connections of HTTP clients under guard. */
public final class ResponseGuards {
  /** The only way to the channel of a connection that {@code HttpClient.connect} has opened. */
  private static final String WRAPPED_CONNECTION = "actual";

  private ResponseGuards() {}

  /**
   * Guards a connection before its first request: what is no response to a request on it closes it.
   *
   * @param connection of HTTP/1.1, from a client's connect handler or its {@code connect}
   * @param listener told what is wrong with the bytes of the peer
   */
  public static void install(HttpConnection connection, ResponseListener listener) {
    ResponseGuard.install(pipeline(connection), listener);
  }

  /** Lets the decoder take heads as long as those that a guard lets through. */
  public static HttpClientOptions allowHeads(HttpClientOptions options) {
    return options
        .setMaxHeaderSize(ResponseFraming.MAXIMUM_HEAD_BYTES)
        .setMaxInitialLineLength(ResponseFraming.MAXIMUM_HEAD_BYTES);
  }

  private static ChannelPipeline pipeline(HttpConnection connection) {
    Object own = connection instanceof HttpClientConnection ? wrapped(connection) : connection;
    return ((ConnectionBase) own).channel().pipeline();
  }

  private static Object wrapped(HttpConnection connection) {
    try {
      Field field = connection.getClass().getDeclaredField(WRAPPED_CONNECTION);
      field.setAccessible(true);
      return field.get(connection);
    } catch (ReflectiveOperationException e) {
      Future<Void> unused = connection.close();
      throw new IllegalStateException("a connection without a channel: " + connection, e);
    }
  }
}

package io.arrowarch.node;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.peer.PeerTransport;
import io.arrowarch.node.http.GuardedClients;
import io.arrowarch.node.http.LoggedResponses;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * The peer protocol: Jackson JSON, as a datagram when the message fits into one, else as an HTTP
 * post to the same port number.
 */
public final class PeerEndpoint implements PeerTransport {
  private static final String MESSAGE_PATH = "/v1/peer";

  /** Where a router takes searches from other routers. */
  public static final String SEARCH_PATH = "/v1/search";

  /** Where a router tells others what it holds of the store. */
  public static final String FEED_PATH = "/v1/feed";

  /** Fits an Ethernet frame with room for headers. */
  private static final int MAXIMUM_DATAGRAM_BYTES = 1_400;

  private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(2);
  private static final int BIND_TRIES = 10;
  private static final int NOT_FOUND = 404;
  private static final int CONNECTIONS_PER_PEER = 2;

  private final Vertx vertx;
  private final PeerCodec codec;
  private final Consumer<PeerMessage> receiver;
  private final ImmutableMap<String, Handler<HttpServerRequest>> services;
  private final HttpClient client;
  private HttpServer server;
  private DatagramSocket socket;
  private long bytesSent;
  private long messagesSent;

  /**
   * Creates an endpoint that listens nowhere yet.
   *
   * @param codec the form of messages
   * @param receiver told every message, on any thread
   * @param services what other routers may ask for beside messages, by path
   */
  public PeerEndpoint(
      Vertx vertx,
      PeerCodec codec,
      Consumer<PeerMessage> receiver,
      ImmutableMap<String, Handler<HttpServerRequest>> services) {
    this.vertx = vertx;
    this.codec = codec;
    this.receiver = receiver;
    this.services = services;
    this.client =
        GuardedClients.create(
            vertx,
            new HttpClientOptions().setConnectTimeout((int) HTTP_TIMEOUT.toMillis()),
            new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_PEER),
            LoggedResponses::of);
  }

  /** Binds TCP and UDP to one port number and returns the address. */
  public Future<SocketAddressSetting> listen(SocketAddressSetting wanted) {
    return listen(wanted, BIND_TRIES);
  }

  private Future<SocketAddressSetting> listen(SocketAddressSetting wanted, int triesLeft) {
    server =
        vertx
            .createHttpServer(
                new HttpServerOptions()
                    .setHost(wanted.host())
                    .setPort(wanted.port())
                    .setPerMessageWebSocketCompressionSupported(false)
                    .setPerFrameWebSocketCompressionSupported(false))
            .requestHandler(this::onRequest);
    socket = vertx.createDatagramSocket(new DatagramSocketOptions());
    socket.handler(packet -> onBytes(packet.data().getBytes()));
    return server
        .listen()
        .compose(
            bound ->
                socket
                    .listen(bound.actualPort(), wanted.host())
                    .map(wanted.withPort(bound.actualPort())))
        .recover(
            failure -> {
              if (wanted.port() != 0 || triesLeft == 0) {
                return Future.failedFuture(failure);
              }
              return server.close().compose(closed -> listen(wanted, triesLeft - 1));
            });
  }

  @Override
  public void send(String address, PeerMessage message) {
    SocketAddressSetting target = SocketAddressSetting.parse(address);
    byte[] bytes = codec.encode(message);
    bytesSent += bytes.length;
    messagesSent++;
    if (bytes.length <= MAXIMUM_DATAGRAM_BYTES) {
      socket
          .send(Buffer.buffer(bytes), target.port(), target.host())
          .onFailure(failure -> Log.logger.atFine().log("Peer: datagram to %s failed.", address));
    } else {
      post(target, bytes);
    }
  }

  /** Bytes of messages since the start, without lower headers. */
  public long bytesSent() {
    return bytesSent;
  }

  /** Messages since the start. */
  public long messagesSent() {
    return messagesSent;
  }

  /** Stops listening. */
  public Future<Void> close() {
    return socket.close().compose(closed -> server.close());
  }

  private void post(SocketAddressSetting target, byte[] bytes) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(target.host())
            .setPort(target.port())
            .setURI(MESSAGE_PATH)
            .setTimeout(HTTP_TIMEOUT.toMillis());
    client
        .request(options)
        .compose(request -> request.send(Buffer.buffer(bytes)))
        .onFailure(failure -> Log.logger.atFine().log("Peer: post to %s failed.", target));
  }

  private void onRequest(HttpServerRequest request) {
    Handler<HttpServerRequest> service = services.get(request.path());
    if (service != null) {
      service.handle(request);
      return;
    }
    if (!request.path().equals(MESSAGE_PATH)) {
      request.response().setStatusCode(NOT_FOUND).end();
      return;
    }
    request
        .body()
        .onSuccess(
            body -> {
              onBytes(body.getBytes());
              request.response().setStatusCode(204).end();
            });
  }

  private void onBytes(byte[] bytes) {
    codec
        .decode(bytes)
        .onSuccess(receiver)
        .onFailure(failure -> Log.logger.atWarning().log("Peer: dropped a malformed message."));
  }

  /** Opened by the first line, since it takes a sixth of a process's start. */
  private static final class Log {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  }
}

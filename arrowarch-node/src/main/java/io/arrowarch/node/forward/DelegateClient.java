package io.arrowarch.node.forward;

import io.arrowarch.core.forward.DelegateFailure;
import io.arrowarch.core.forward.DelegateOutcomes;
import io.arrowarch.core.forward.DelegateReply;
import io.arrowarch.core.forward.DelegateTransport;
import io.arrowarch.core.forward.DelegatedSearch;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.node.BoundedBody;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.PeerEndpoint;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.http.GuardedClients;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Hands searches to other routers over HTTP/1.1. Cancelling one closes its connection. */
final class DelegateClient implements DelegateTransport {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(200);
  private static final int CONNECTIONS_PER_ROUTER = 32;

  private static final Duration KEEP_ALIVE = Duration.ofSeconds(10);

  private final Vertx vertx;
  private final EventLoopDriver driver;
  private final Supplier<? extends DelegateOutcomes> outcomes;
  private final MalformedResponses malformed;
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<Long, Sending> sending = new HashMap<>();

  DelegateClient(
      Vertx vertx,
      EventLoopDriver driver,
      Supplier<? extends DelegateOutcomes> outcomes,
      MalformedResponses malformed) {
    this.vertx = vertx;
    this.driver = driver;
    this.outcomes = outcomes;
    this.malformed = malformed;
  }

  /**
   * Connections to one incarnation of a router. Those to an earlier one may look open when its
   * machine has lost power, and a search that is lost on one is not run again.
   */
  private record Peer(long incarnation, HttpClient client) {}

  private HttpClient clientOf(LiveRouter delegate) {
    Peer known = peers.get(delegate.address());
    if (known != null && known.incarnation() == delegate.incarnation()) {
      return known.client();
    }
    if (known != null) {
      known.client().close();
    }
    HttpClient made = createClient();
    peers.put(delegate.address(), new Peer(delegate.incarnation(), made));
    return made;
  }

  private HttpClient createClient() {
    return GuardedClients.create(
        vertx,
        new HttpClientOptions()
            .setTcpNoDelay(true)
            .setKeepAliveTimeout((int) KEEP_ALIVE.toSeconds())
            .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()),
        new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_ROUTER),
        peer -> malformed.ofPooled(MalformedResponses.PeerKind.ROUTER, peer));
  }

  @Override
  public void send(long number, LiveRouter delegate, DelegatedSearch search) {
    Sending started = new Sending(number);
    sending.put(number, started);
    SocketAddressSetting address = SocketAddressSetting.parse(delegate.address());
    clientOf(delegate)
        .request(
            new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(address.host())
                .setPort(address.port())
                .setURI(PeerEndpoint.SEARCH_PATH))
        .onSuccess(request -> started.send(request, search))
        .onFailure(failure -> started.fail(DelegateFailure.UNREACHABLE));
  }

  @Override
  public void cancel(long number) {
    Sending cancelled = sending.remove(number);
    if (cancelled != null) {
      cancelled.abort();
    }
  }

  /** One search on its way. */
  private final class Sending {
    private final long number;
    private HttpClientRequest request;
    private boolean ended;

    Sending(long number) {
      this.number = number;
    }

    void send(HttpClientRequest opened, DelegatedSearch search) {
      request = opened;
      if (ended) {
        request.reset();
        return;
      }
      request
          .send(Buffer.buffer(DelegationCodec.encode(number, search)))
          .compose(response -> BoundedBody.read(response, BoundedBody.MAXIMUM_REPLY_BYTES))
          .onSuccess(
              body ->
                  DelegationCodec.decodeReply(number, body.getBytes())
                      .onSuccess(this::end)
                      .onFailure(malformed -> fail(DelegateFailure.BROKEN)))
          .onFailure(failure -> fail(DelegateFailure.BROKEN));
    }

    void abort() {
      ended = true;
      if (request != null) {
        request.reset();
      }
    }

    private void end(DelegateReply reply) {
      if (!ended) {
        ended = true;
        sending.remove(number);
        driver.run(() -> outcomes.get().onDelegateReply(number, reply));
      }
    }

    private void fail(DelegateFailure failure) {
      if (!ended) {
        ended = true;
        sending.remove(number);
        driver.run(() -> outcomes.get().onDelegateFailure(number, failure));
      }
    }
  }
}

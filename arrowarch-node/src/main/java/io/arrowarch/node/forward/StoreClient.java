package io.arrowarch.node.forward;

import com.google.common.flogger.FluentLogger;
import io.arrowarch.core.feed.FeedAnswer;
import io.arrowarch.core.feed.FeedFailure;
import io.arrowarch.core.feed.FeedTransport;
import io.arrowarch.core.feed.StoreFollower;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.node.BoundedBody;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.PeerEndpoint;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.http.GuardedClients;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * Reads the platform's store over HTTP/1.1, one call at a time: the next one ends the connection of
 * one that has no answer.
 */
final class StoreClient implements FeedTransport {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(800);

  /** A listing of a router of the zone takes some 50 ms on a small machine's link. */
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);

  /** An answer whose rest was lost comes no further, and the call must be made again in time. */
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

  /** A connection whose call did not end in time says nothing more; there must be room for one. */
  private static final int CONNECTIONS = 4;

  private final Vertx vertx;
  private final EventLoopDriver driver;
  private final Supplier<StoreFollower> follower;
  private final FeedCodec codec;
  private final SocketAddressSetting store;
  private final Runnable onFollowed;
  private final MalformedResponses malformed;
  private final AnswerHandler pages =
      new AnswerHandler(FeedCodec.Question.LISTING, this::onStoreAnswer);
  private final AnswerHandler storeChanges =
      new AnswerHandler(FeedCodec.Question.CHANGES, this::onStoreAnswer);
  private final AnswerHandler peerChanges =
      new AnswerHandler(FeedCodec.Question.CHANGES, this::onPeerAnswer);
  private HttpClient client;
  private Optional<HttpClientRequest> unanswered = Optional.empty();
  private long listingCalls;
  private long watchCalls;
  private long peerCalls;
  private long peerBytes;
  private long newestCall;

  /**
   * Creates a client.
   *
   * @param onFollowed run after each answer or failure, when what the follower holds may be newer
   * @param malformed told of bytes that are no response
   */
  StoreClient(
      Vertx vertx,
      EventLoopDriver driver,
      Supplier<StoreFollower> follower,
      FeedCodec codec,
      SocketAddressSetting store,
      Runnable onFollowed,
      MalformedResponses malformed) {
    this.vertx = vertx;
    this.driver = driver;
    this.follower = follower;
    this.codec = codec;
    this.store = store;
    this.onFollowed = onFollowed;
    this.malformed = malformed;
    this.client = createClient();
  }

  private HttpClient createClient() {
    return GuardedClients.create(
        vertx,
        new HttpClientOptions()
            .setTcpNoDelay(true)
            .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()),
        new PoolOptions().setHttp1MaxSize(CONNECTIONS),
        peer -> malformed.ofPooled(MalformedResponses.PeerKind.FEED, peer));
  }

  /** Pages of listings of the store since the start. */
  long listingCalls() {
    return listingCalls;
  }

  /** Watches of the store since the start. */
  long watchCalls() {
    return watchCalls;
  }

  /** Calls of other routers for what they hold since the start. */
  long peerCalls() {
    return peerCalls;
  }

  /** Bytes of bodies that other routers have answered since the start. */
  long peerBytes() {
    return peerBytes;
  }

  @Override
  public void list(long call, Optional<String> afterKey, Duration timeout) {
    listingCalls++;
    get(call, store, codec.listTarget(afterKey), timeout, pages);
  }

  @Override
  public void watch(long call, StoreRevision after, Duration longestWait, Duration timeout) {
    watchCalls++;
    get(call, store, codec.watchTarget(after, longestWait), timeout, storeChanges);
  }

  @Override
  public void watchPeer(
      long call, String address, StoreRevision after, Duration longestWait, Duration timeout) {
    peerCalls++;
    String target =
        "%s?%s=%d&%s=%d&%s=%d"
            .formatted(
                PeerEndpoint.FEED_PATH,
                FeedServer.AFTER,
                after.number(),
                FeedServer.ERA,
                after.era(),
                FeedServer.WAIT,
                longestWait.toMillis());
    get(call, SocketAddressSetting.parse(address), target, timeout, peerChanges);
  }

  @Override
  public void listFromPeer(String address) {
    peerCalls++;
    SocketAddressSetting peer = SocketAddressSetting.parse(address);
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(peer.host())
            .setPort(peer.port())
            .setURI(PeerEndpoint.FEED_PATH)
            .putHeader(HttpHeaders.ACCEPT_ENCODING, CompressedListing.ENCODING)
            .setTimeout(PEER_TIMEOUT.toMillis());
    client
        .request(options)
        .compose(HttpClientRequest::send)
        .compose(response -> readBody(response).onSuccess(body -> onPeerListing(response, body)))
        .onFailure(failure -> driver.run(() -> follower.get().onPeerListingFailed()));
  }

  private void onPeerListing(HttpClientResponse response, Buffer body) {
    Optional<Duration> age = ViewAge.in(response.headers());
    peerBytes += body.length();
    driver.run(
        () ->
            CompressedListing.read(response.headers(), body.getBytes())
                .toEither(FeedFailure.NO_ANSWER)
                .flatMap(bytes -> decode(FeedCodec.Question.LISTING, response, bytes))
                .peek(listing -> follower.get().onPeerListing(listing, age))
                .peekLeft(failure -> follower.get().onPeerListingFailed()));
  }

  private Future<Buffer> readBody(HttpClientResponse response) {
    return BoundedBody.read(vertx, response, BoundedBody.MAXIMUM_DOCUMENT_BYTES, LONGEST_PAUSE);
  }

  /** An answer that cannot be decoded is a failure: without one no other call would follow. */
  private Either<FeedFailure, FeedAnswer> decode(
      FeedCodec.Question question, HttpClientResponse response, byte[] body) {
    Optional<String> era = Optional.ofNullable(response.getHeader(codec.eraHeader()));
    try {
      return codec.decode(question, response.statusCode(), era, body);
    } catch (RuntimeException | StackOverflowError e) {
      Log.logger.atSevere().withCause(e).log("Store: an answer could not be decoded.");
      return Either.left(FeedFailure.NO_ANSWER);
    }
  }

  /** What was asked, and who takes an answer that could be decoded. */
  private record AnswerHandler(FeedCodec.Question question, AnswerConsumer consumer) {
    void handle(long call, FeedAnswer answer, HttpClientResponse response) {
      consumer.accept(call, answer, response);
    }
  }

  /** Tells the follower an answer. */
  private interface AnswerConsumer {
    void accept(long call, FeedAnswer answer, HttpClientResponse response);
  }

  private void onStoreAnswer(long call, FeedAnswer answer, HttpClientResponse response) {
    follower.get().onAnswer(call, answer);
  }

  private void onPeerAnswer(long call, FeedAnswer answer, HttpClientResponse response) {
    follower.get().onPeerChanges(call, answer, ViewAge.in(response.headers()));
  }

  private void get(
      long call,
      SocketAddressSetting from,
      String target,
      Duration timeout,
      AnswerHandler handler) {
    newestCall = call;
    unanswered.ifPresent(HttpClientRequest::reset);
    unanswered = Optional.empty();
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(from.host())
            .setPort(from.port())
            .setURI(target)
            .setTimeout(timeout.toMillis());
    client
        .request(options)
        .compose(request -> send(call, request))
        .compose(
            response ->
                readBody(response).onSuccess(body -> onAnswer(call, response, body, handler)))
        .onFailure(failure -> fail(call, failure));
  }

  private Future<HttpClientResponse> send(long call, HttpClientRequest request) {
    if (call == newestCall) {
      unanswered = Optional.of(request);
    }
    return request.send();
  }

  private void onAnswer(
      long call, HttpClientResponse response, Buffer body, AnswerHandler handler) {
    if (call == newestCall) {
      unanswered = Optional.empty();
    }
    driver.run(
        () ->
            decode(handler.question(), response, body.getBytes())
                .peek(answer -> handler.handle(call, answer, response))
                .peekLeft(failure -> follower.get().onFailure(call, failure)));
    onFollowed.run();
  }

  private void fail(long call, Throwable failure) {
    boolean silent =
        failure instanceof TimeoutException || failure instanceof BoundedBody.StalledException;
    if (silent && call == newestCall) {
      leaveOpenConnections();
    }
    driver.run(() -> follower.get().onFailure(call, FeedFailure.NO_ANSWER));
    onFollowed.run();
  }

  /**
   * Where one connection has fallen silent, those that are idle may have as well, and each would
   * cost the next call a whole time-out.
   */
  private void leaveOpenConnections() {
    HttpClient left = client;
    client = createClient();
    // A listing of another router that is on its way may still come.
    left.shutdown(PEER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .onFailure(
            failure -> Log.logger.atFine().withCause(failure).log("Store: a client stayed open."));
  }

  /** Opened by the first line, since it takes a sixth of a process's start. */
  private static final class Log {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  }
}

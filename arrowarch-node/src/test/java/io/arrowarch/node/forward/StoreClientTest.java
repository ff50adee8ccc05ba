package io.arrowarch.node.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.feed.FeedAnswer;
import io.arrowarch.core.feed.FeedFailure;
import io.arrowarch.core.feed.StoreFollower;
import io.arrowarch.core.forward.ForwardingRouter;
import io.arrowarch.core.forward.RouterGroup;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.SystemClock;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Open connections fell silent, without a reset, while new ones worked. A router noticed that of
 * the connection on which its call had no answer, and made the next call on another one that had
 * been open, and idle, since before: each of them cost a whole time-out more. A router that had
 * used two lookouts and the store within the last minute missed a change for three of them.
 */
public final class StoreClientTest {
  private static final Duration TIMEOUT = Duration.ofMillis(300);
  private static final Duration PATIENCE = Duration.ofSeconds(10);
  private static final Duration BOUND = Duration.ofSeconds(5);

  private final List<HttpConnection> connections = new ArrayList<>();
  private final Set<HttpConnection> silent = new HashSet<>();
  private final List<HttpServerRequest> requests = new ArrayList<>();
  private final NoContents codec = new NoContents();
  private Vertx vertx;
  private Context context;
  private HttpServer store;
  private StoreClient client;
  private int ended;
  private int awaitedEnds;
  private CountDownLatch ends;

  @BeforeMethod
  public void start() {
    vertx = Vertx.vertx();
    codec.exhaustsStack = false;
    context = vertx.getOrCreateContext();
    store = join(context, this::listen);
    EventLoopDriver driver =
        new EventLoopDriver(vertx, context, this::onEnded, OptionalLong::empty);
    client =
        new StoreClient(
            vertx,
            driver,
            StoreClientTest::follower,
            codec,
            new SocketAddressSetting("127.0.0.1", store.actualPort()),
            () -> {},
            new MalformedResponses(EventLog.NONE));
  }

  @AfterMethod
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  public void afterASilenceTheNextCallOpensAConnection() throws InterruptedException {
    awaitEnds(
        2,
        () -> {
          client.list(1, Optional.empty(), BOUND);
          client.listFromPeer("127.0.0.1:" + store.actualPort());
        });
    awaitEnds(
        1,
        () -> {
          silent.addAll(connections);
          client.watch(2, StoreRevision.NONE, TIMEOUT, TIMEOUT);
        });
    awaitEnds(1, () -> client.watch(3, StoreRevision.NONE, TIMEOUT, TIMEOUT));

    HttpServerRequest last = requests.get(requests.size() - 1);
    assertThat(silent).hasSize(2).doesNotContain(last.connection());
  }

  /** A call whose answer cannot be decoded must end as failed; otherwise no other call follows. */
  @Test
  public void callEndsAsFailedWhenDecodingRunsOutOfStack() throws InterruptedException {
    codec.exhaustsStack = true;
    awaitEnds(1, () -> client.watch(1, StoreRevision.NONE, TIMEOUT, TIMEOUT));
    awaitEnds(1, () -> client.listFromPeer("127.0.0.1:" + store.actualPort()));
  }

  /** Does something on the event loop, and waits until so many calls have ended. */
  private void awaitEnds(int count, Runnable task) throws InterruptedException {
    ends = new CountDownLatch(1);
    context.runOnContext(
        ignored -> {
          awaitedEnds = ended + count;
          task.run();
        });
    assertThat(ends.await(PATIENCE.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
  }

  /** Runs after each answer or failure that the client tells the follower. */
  private void onEnded() {
    ended++;
    if (ended == awaitedEnds) {
      ends.countDown();
    }
  }

  private void listen(Promise<HttpServer> listening) {
    vertx
        .createHttpServer()
        .connectionHandler(connections::add)
        .requestHandler(this::answer)
        .listen(0, "127.0.0.1")
        .onComplete(listening);
  }

  private void answer(HttpServerRequest request) {
    requests.add(request);
    if (!silent.contains(request.connection())) {
      request.response().end();
    }
  }

  private interface Starter {
    void start(Promise<HttpServer> started);
  }

  private static HttpServer join(Context context, Starter starter) {
    Promise<HttpServer> started = Promise.promise();
    context.runOnContext(ignored -> starter.start(started));
    return started.future().toCompletionStage().toCompletableFuture().join();
  }

  private static StoreFollower follower() {
    return new ForwardingRouter(
            IdleOptions.OPTIONS,
            new SystemClock(),
            new TimerQueue(),
            Runnable::run,
            new Random(1),
            new IdleOptions.NoServers(),
            new ForwardWarmUp.SilentFeed(),
            EventLog.NONE,
            RouterGroup.ofCount(1))
        .follower();
  }

  /** Answers say nothing. */
  private static final class NoContents implements FeedCodec {
    private volatile boolean exhaustsStack;

    @Override
    public String listTarget(Optional<String> afterKey) {
      return "/list";
    }

    @Override
    public String watchTarget(StoreRevision after, Duration longestWait) {
      return "/watch";
    }

    @Override
    public byte[] encodeListing(FeedAnswer listing) {
      return new byte[0];
    }

    @Override
    public byte[] encodeChanges(FeedAnswer changes) {
      return new byte[0];
    }

    @Override
    public String eraHeader() {
      return "era";
    }

    @Override
    public Either<FeedFailure, FeedAnswer> decode(
        Question question, int status, Optional<String> era, byte[] body) {
      if (exhaustsStack) {
        throw new StackOverflowError();
      }
      return Either.left(FeedFailure.NO_ANSWER);
    }
  }
}

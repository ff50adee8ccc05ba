package io.arrowarch.node.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.forward.Caller;
import io.arrowarch.core.forward.DelegateReply;
import io.arrowarch.core.forward.DelegatedSearch;
import io.arrowarch.core.forward.ForwardCoordinator;
import io.arrowarch.core.forward.ForwardedRequest;
import io.arrowarch.core.forward.Payload;
import io.arrowarch.core.forward.RouterGroup;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.SystemClock;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class DelegateClientTest {
  private static final Duration TIME_LEFT = Duration.ofSeconds(5);
  private static final DelegatedSearch SEARCH =
      new DelegatedSearch(
          new ForwardedRequest(
              "id",
              Optional.of(TIME_LEFT),
              "GET",
              "h",
              "/",
              Caller.ANONYMOUS,
              ImmutableList.of(),
              Payload.EMPTY),
          1,
          new RouteTarget.AllShards(ImmutableList.of("s"), 4, 0.5),
          TIME_LEFT,
          TIME_LEFT,
          false);

  private final AtomicInteger connections = new AtomicInteger();
  private final Queue<Promise<Void>> answered = new ArrayDeque<>();
  private Vertx vertx;
  private HttpServer router;
  private DelegateClient client;
  private Context context;

  @BeforeMethod
  public void start() {
    connections.set(0);
    vertx = Vertx.vertx();
    context = vertx.getOrCreateContext();
    router =
        vertx
            .createHttpServer()
            .connectionHandler(connection -> connections.incrementAndGet())
            .requestHandler(DelegateClientTest::decline)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    client =
        new DelegateClient(
            vertx,
            new EventLoopDriver(vertx, context, this::onReply, OptionalLong::empty),
            DelegateClientTest::coordinator,
            new MalformedResponses(EventLog.NONE));
  }

  @AfterMethod
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  public void aRouterThatRestartedGetsNewConnections() {
    send(1, 7);
    send(2, 7);
    assertThat(connections.get()).isEqualTo(1);
    send(3, 8);

    assertThat(connections.get()).isEqualTo(2);
  }

  /** Sends a search and awaits the reply. */
  private void send(long number, long incarnation) {
    LiveRouter delegate =
        new LiveRouter("b", incarnation, "zone-b", "127.0.0.1:" + router.actualPort(), 1);
    Promise<Void> reply = Promise.promise();
    context.runOnContext(
        ignored -> {
          answered.add(reply);
          client.send(number, delegate, SEARCH);
        });
    reply.future().toCompletionStage().toCompletableFuture().join();
  }

  /** Runs after each event that the client tells the decisions. */
  private void onReply() {
    Optional.ofNullable(answered.poll()).ifPresent(Promise::complete);
  }

  private static void decline(HttpServerRequest request) {
    request
        .response()
        .end(
            Buffer.buffer(
                DelegationCodec.encode(Optional.empty(), new DelegateReply.Declined("no reason"))));
  }

  private static ForwardCoordinator coordinator() {
    return new ForwardCoordinator(
        IdleOptions.OPTIONS,
        new SystemClock(),
        new TimerQueue(),
        Runnable::run,
        new Random(1),
        new ServerDirectory(TIME_LEFT),
        new IdleOptions.NoServers(),
        EventLog.NONE,
        RouterGroup.ofCount(1),
        () -> Optional.of(Duration.ZERO));
  }
}

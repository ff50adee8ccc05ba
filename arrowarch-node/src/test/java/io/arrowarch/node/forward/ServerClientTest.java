package io.arrowarch.node.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.forward.Caller;
import io.arrowarch.core.forward.ForwardedRequest;
import io.arrowarch.core.forward.Payload;
import io.arrowarch.core.forward.ServerAttempt;
import io.arrowarch.core.forward.ServerReply;
import io.arrowarch.core.server.ServerEntry;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.ReplyMemory;
import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Attempts whose caller leaves while the connection to the server is being opened. */
public final class ServerClientTest {
  private static final Duration TIME_LEFT = Duration.ofSeconds(20);
  private static final long LONGEST_SECONDS = 20;

  private final List<String> received = new CopyOnWriteArrayList<>();
  private final LinkedBlockingQueue<NetSocket> callers = new LinkedBlockingQueue<>();
  private final CompletableFuture<Void> accepted = new CompletableFuture<>();
  private final AtomicBoolean callerHasLeft = new AtomicBoolean();
  private Vertx vertx;
  private Vertx others;
  private Context context;
  private NetServer server;
  private NetServer callersSide;
  private ServerClient client;

  @BeforeMethod
  public void start() throws Exception {
    vertx = Vertx.vertx();
    others = Vertx.vertx();
    context = vertx.getOrCreateContext();
    server = listen(this::onServerConnection);
    callersSide = listen(callers::add);
    client =
        new ServerClient(
            new EventLoopDriver(vertx, context, () -> {}, OptionalLong::empty),
            () -> {
              throw new IllegalStateException("no attempt ends in this test");
            },
            new IdCodec(),
            new ServerConnections(vertx, new MalformedResponses(EventLog.NONE)),
            ReplyMemory.ofHeap());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(LONGEST_SECONDS, TimeUnit.SECONDS);
    others.close().toCompletionStage().toCompletableFuture().get(LONGEST_SECONDS, TimeUnit.SECONDS);
  }

  /** The loop was late: it wrote the request when it saw the connection, before the close. */
  @Test
  public void aRequestIsNotWrittenWhenItsCallerLeftBeforeTheConnectionWasSeen() throws Exception {
    ServerAttempt leaving = attempt(1, "leaving");
    NetSocket caller = connectCaller(() -> client.cancel(leaving));
    context.runOnContext(
        ignored -> {
          client.send(leaving);
          keepBusyUntilTheCallerHasLeft();
        });
    accepted.get(LONGEST_SECONDS, TimeUnit.SECONDS);
    caller.close().toCompletionStage().toCompletableFuture().get(LONGEST_SECONDS, TimeUnit.SECONDS);
    callerHasLeft.set(true);
    ServerAttempt later = attempt(2, "later");
    context.runOnContext(ignored -> client.send(later));
    while (!received.contains("later")) {
      Thread.onSpinWait();
    }

    assertThat(received).containsExactly("later");
  }

  /** Runs tasks without a poll of the sockets in between. */
  private void keepBusyUntilTheCallerHasLeft() {
    if (!callerHasLeft.get()) {
      context.runOnContext(ignored -> keepBusyUntilTheCallerHasLeft());
    }
  }

  private NetServer listen(Handler<NetSocket> handler) throws Exception {
    return others
        .createNetServer()
        .connectHandler(handler)
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .get(LONGEST_SECONDS, TimeUnit.SECONDS);
  }

  private void onServerConnection(NetSocket socket) {
    accepted.complete(null);
    socket.handler(
        bytes ->
            bytes
                .toString(StandardCharsets.ISO_8859_1)
                .lines()
                .filter(line -> line.startsWith("id: "))
                .forEach(line -> received.add(line.substring("id: ".length()))));
  }

  /** Connects a socket on the loop of the client; returns the other end of it. */
  private NetSocket connectCaller(Runnable onClose) throws Exception {
    CompletableFuture<Void> connected = new CompletableFuture<>();
    context.runOnContext(
        ignored ->
            vertx
                .createNetClient()
                .connect(callersSide.actualPort(), "127.0.0.1")
                .onSuccess(
                    socket -> {
                      socket.closeHandler(closed -> onClose.run());
                      connected.complete(null);
                    }));
    connected.get(LONGEST_SECONDS, TimeUnit.SECONDS);
    return callers.poll(LONGEST_SECONDS, TimeUnit.SECONDS);
  }

  private ServerAttempt attempt(long number, String id) {
    return new ServerAttempt(
        number,
        new ServerEntry(
            "server-" + number,
            "s",
            "127.0.0.1:" + server.actualPort(),
            "zone-a",
            2,
            false,
            Duration.ZERO),
        new ForwardedRequest(
            id,
            Optional.of(TIME_LEFT),
            "GET",
            "host",
            "/",
            Caller.ANONYMOUS,
            ImmutableList.of(),
            Payload.EMPTY),
        System.nanoTime() + TIME_LEFT.toNanos(),
        false);
  }

  /** Writes the id of a request only. */
  private static final class IdCodec implements AttemptCodec {
    @Override
    public void encode(ServerAttempt attempt, Duration timeLeft, MultiMap headers) {
      headers.set("id", attempt.request().id());
    }

    @Override
    public ServerReply decode(
        ServerAttempt attempt, int status, MultiMap headers, Payload body, boolean first) {
      throw new IllegalStateException("no server answers in this test");
    }
  }
}

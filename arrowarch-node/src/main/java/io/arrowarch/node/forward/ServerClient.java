package io.arrowarch.node.forward;

import io.arrowarch.core.forward.ForwardCoordinator;
import io.arrowarch.core.forward.Payload;
import io.arrowarch.core.forward.ServerAttempt;
import io.arrowarch.core.forward.ServerFailure;
import io.arrowarch.core.forward.ServerReply;
import io.arrowarch.core.forward.ServerTransport;
import io.arrowarch.node.BoundedBody;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.ReplyMemory;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Sends attempts to servers over HTTP/1.1. Cancelling one closes its connection, which is what
 * makes the server stop; so does anything in its answer that does not belong there.
 */
final class ServerClient implements ServerTransport {
  /** A server takes whole milliseconds; with less it would stop at once. */
  private static final Duration SHORTEST_DEADLINE = Duration.ofMillis(1);

  private final EventLoopDriver driver;
  private final Supplier<ForwardCoordinator> coordinator;
  private final AttemptCodec codec;
  private final ServerConnections connections;
  private final ReplyMemory memory;
  private final Map<Long, Sending> sending = new HashMap<>();

  ServerClient(
      EventLoopDriver driver,
      Supplier<ForwardCoordinator> coordinator,
      AttemptCodec codec,
      ServerConnections connections,
      ReplyMemory memory) {
    this.driver = driver;
    this.coordinator = coordinator;
    this.codec = codec;
    this.connections = connections;
    this.memory = memory;
  }

  @Override
  public void send(ServerAttempt attempt) {
    Sending started = new Sending(attempt);
    sending.put(attempt.number(), started);
    Optional<ServerConnection> idle =
        connections.takeIdle(attempt.server().id(), attempt.request().id());
    if (idle.isPresent()) {
      started.write(idle.get());
    } else {
      started.open();
    }
  }

  @Override
  public boolean cancel(ServerAttempt attempt) {
    Sending cancelled = sending.remove(attempt.number());
    return cancelled != null && cancelled.abort();
  }

  /** One attempt on its way. */
  private final class Sending {
    private final ServerAttempt attempt;
    private ServerConnection connection;
    private boolean writing;
    private boolean ended;

    Sending(ServerAttempt attempt) {
      this.attempt = attempt;
    }

    void open() {
      connections
          .open(attempt.server())
          .onSuccess(this::onOpened)
          .onFailure(failure -> fail(ServerFailure.UNREACHABLE));
    }

    /** Returns whether the server may have received any of the request. */
    boolean abort() {
      ended = true;
      if (connection != null) {
        connection.close();
      }
      return writing;
    }

    /** The caller may have left while the connection was being opened. */
    private void onOpened(ServerConnection opened) {
      driver.afterArrivals(() -> writeUnlessEnded(opened));
    }

    private void writeUnlessEnded(ServerConnection opened) {
      if (ended) {
        connections.giveBack(attempt.server().id(), opened);
      } else {
        write(opened);
      }
    }

    private void write(ServerConnection taken) {
      connection = taken;
      taken.onRequest(attempt.request().id());
      taken
          .connection()
          .request(
              new RequestOptions()
                  .setMethod(HttpMethod.valueOf(attempt.request().method()))
                  .setURI(attempt.request().target()))
          .onSuccess(this::send)
          .onFailure(failure -> fail(ServerFailure.NOT_WRITTEN));
    }

    private void send(HttpClientRequest request) {
      if (ended) {
        connection.close();
        return;
      }
      if (!connection.isOpen()) {
        // Something came on it after it was taken.
        fail(ServerFailure.NOT_WRITTEN);
        return;
      }
      Duration left = Duration.ofNanos(attempt.deadlineNanos() - System.nanoTime());
      if (left.compareTo(SHORTEST_DEADLINE) < 0) {
        // The router or the connection was late: the server could only throw the request away.
        request.reset();
        fail(ServerFailure.NOT_WRITTEN);
        return;
      }
      codec.encode(attempt, left, request.headers());
      writing = true;
      Payload body = attempt.request().body();
      (body.length() == 0 ? request.send() : request.send(PayloadBuffers.of(body)))
          .onSuccess(this::read)
          .onFailure(failure -> fail(kindOf(failure)));
    }

    private void read(HttpClientResponse response) {
      BoundedBody.read(response, BoundedBody.MAXIMUM_REPLY_BYTES, memory)
          .onSuccess(body -> onWhole(response, body))
          .onFailure(failure -> fail(kindOf(failure)));
    }

    /**
     * A connection that this router closes because of what came on it does not show that its server
     * has crashed.
     */
    private ServerFailure kindOf(Throwable failure) {
      return failure instanceof IOException || failure instanceof HttpClosedException
          ? ServerFailure.BROKEN
          : ServerFailure.GARBLED;
    }

    private void onWhole(HttpClientResponse response, Buffer body) {
      if (ended) {
        return;
      }
      ServerReply reply =
          codec.decode(
              attempt,
              response.statusCode(),
              response.headers(),
              Payload.of(body.getBytes()),
              connection.isNew());
      if (!reply.answersRequest()) {
        fail(ServerFailure.GARBLED);
        return;
      }
      end();
      connection.onAnswer(response);
      connections.giveBack(attempt.server().id(), connection);
      driver.run(() -> coordinator.get().onReply(attempt.number(), reply));
    }

    private void fail(ServerFailure failure) {
      if (ended) {
        return;
      }
      end();
      if (connection != null) {
        connection.close();
      }
      driver.run(() -> coordinator.get().onFailure(attempt.number(), failure));
    }

    private void end() {
      ended = true;
      sending.remove(attempt.number());
    }
  }
}

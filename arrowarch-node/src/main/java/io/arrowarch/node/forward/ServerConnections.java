package io.arrowarch.node.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.server.ServerEntry;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.http.ResponseGuards;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/** Connections to servers, by server: idle ones are used again, the one that rested least first. */
final class ServerConnections {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  private final HttpClientAgent client;
  private final Map<String, Deque<ServerConnection>> idle = new HashMap<>();
  private final MalformedResponses malformed;
  private long opened;
  private long failed;

  ServerConnections(Vertx vertx, MalformedResponses malformed) {
    this.malformed = malformed;
    client =
        vertx.createHttpClient(
            ResponseGuards.allowHeads(
                new HttpClientOptions()
                    .setKeepAlive(true)
                    .setPipelining(false)
                    .setTcpNoDelay(true)
                    .setDecompressionSupported(false)
                    .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())));
  }

  /** Connections opened since the start. */
  long opened() {
    return opened;
  }

  /** Connections that could not be opened since the start. */
  long failed() {
    return failed;
  }

  /**
   * An idle connection, if there is one that may take this request. None that has carried a request
   * with the same id may. If there are only such ones, the one that rested most is closed, so that
   * a new connection does not add to their number.
   */
  Optional<ServerConnection> takeIdle(String serverId, String requestId) {
    Deque<ServerConnection> resting = idle.get(serverId);
    if (resting == null) {
      return Optional.empty();
    }
    Iterator<ServerConnection> latestFirst = resting.descendingIterator();
    while (latestFirst.hasNext()) {
      ServerConnection connection = latestFirst.next();
      if (!connection.isFresh()) {
        latestFirst.remove();
        connection.close();
      } else if (!connection.mayHaveCarried(requestId)) {
        latestFirst.remove();
        return Optional.of(connection);
      }
    }
    Optional.ofNullable(resting.pollFirst()).ifPresent(ServerConnection::close);
    return Optional.empty();
  }

  /** Opens a connection. */
  Future<ServerConnection> open(ServerEntry server) {
    SocketAddressSetting address = SocketAddressSetting.parse(server.address());
    opened++;
    return client
        .connect(new HttpConnectOptions().setHost(address.host()).setPort(address.port()))
        .onFailure(failure -> failed++)
        .map(
            connection -> {
              ServerConnection added = new ServerConnection(connection);
              ResponseGuards.install(
                  connection,
                  malformed.of(MalformedResponses.PeerKind.SERVER, server.id(), added::onClosed));
              connection.closeHandler(closed -> onClosed(server.id(), added));
              connection.exceptionHandler(failure -> added.close());
              return added;
            });
  }

  /** Gives a connection back after a whole answer. */
  void giveBack(String serverId, ServerConnection connection) {
    if (connection.isFresh()) {
      idle.computeIfAbsent(serverId, id -> new ArrayDeque<>()).addLast(connection);
    } else {
      connection.close();
    }
  }

  /** Closes the idle connections of a server that takes no more work. */
  void closeIdle(String serverId) {
    Deque<ServerConnection> resting = idle.remove(serverId);
    if (resting != null) {
      ImmutableList.copyOf(resting).forEach(ServerConnection::close);
    }
  }

  /** Closes idle connections before their servers do. */
  void closeRested() {
    for (Deque<ServerConnection> resting : ImmutableList.copyOf(idle.values())) {
      for (ServerConnection connection : ImmutableList.copyOf(resting)) {
        if (!connection.isFresh()) {
          resting.remove(connection);
          connection.close();
        }
      }
    }
    idle.values().removeIf(Deque::isEmpty);
  }

  private void onClosed(String serverId, ServerConnection connection) {
    connection.onClosed();
    Deque<ServerConnection> resting = idle.get(serverId);
    if (resting != null) {
      resting.remove(connection);
    }
  }
}

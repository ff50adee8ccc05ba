package io.arrowarch.node;

import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.Map;

/**
 * The connections of callers, with when each was last used. A stopping router closes its port only
 * when every connection is gone or has been quiet: a request may be on its way on any other.
 */
final class OpenConnections {
  private final Map<HttpConnection, Long> lastUsedNanos = new HashMap<>();

  /** Starts to follow a connection; must be called on the event loop that serves it. */
  void onOpened(HttpConnection connection) {
    onUsed(connection);
    connection.closeHandler(closed -> lastUsedNanos.remove(connection));
  }

  /** Notes a request on a connection. */
  void onUsed(HttpConnection connection) {
    lastUsedNanos.put(connection, System.nanoTime());
  }

  /** Whether no connection was opened or used within this time. */
  boolean areQuietFor(long quietNanos) {
    long nowNanos = System.nanoTime();
    return lastUsedNanos.values().stream().allMatch(used -> nowNanos - used >= quietNanos);
  }
}

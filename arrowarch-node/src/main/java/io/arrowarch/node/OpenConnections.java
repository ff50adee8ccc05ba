package io.arrowarch.node;

import io.vertx.core.http.HttpConnection;
import java.util.function.LongSupplier;

/**
 * The connections of callers, with when any was last used. A stopping router closes its port only
 * when all have been quiet: a request may be on its way on an open one, and a caller whose
 * connection was just closed with an answer may be opening the next.
 */
final class OpenConnections {
  private final LongSupplier nanoTime;
  private long lastUsedNanos;

  /**
   * Follows no connection yet.
   *
   * @param nanoTime a monotonic clock in nanoseconds
   */
  OpenConnections(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.lastUsedNanos = nanoTime.getAsLong();
  }

  /** Starts to follow a connection; must be called on the event loop that serves it. */
  void onOpened(HttpConnection connection) {
    onUsed();
    connection.closeHandler(closed -> onUsed());
  }

  /** Notes a request on a connection. */
  void onUsed() {
    lastUsedNanos = nanoTime.getAsLong();
  }

  /** Whether no connection was opened, used or closed within this time. */
  boolean areQuietFor(long quietNanos) {
    return nanoTime.getAsLong() - lastUsedNanos >= quietNanos;
  }
}

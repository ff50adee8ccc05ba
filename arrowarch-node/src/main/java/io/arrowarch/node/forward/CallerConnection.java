package io.arrowarch.node.forward;

import io.vertx.core.http.HttpConnection;
import java.time.Duration;

/** A caller's connection: whether a request is in progress on it, and since when it rests. */
final class CallerConnection {
  private final HttpConnection connection;
  private long restingSinceNanos = System.nanoTime();
  private long requests;
  private int inProgress;

  CallerConnection(HttpConnection connection) {
    this.connection = connection;
  }

  void onRequest() {
    requests++;
    inProgress++;
  }

  void onAnswered() {
    inProgress--;
    restingSinceNanos = System.nanoTime();
  }

  /** Whether the request that came last is the first. */
  boolean isOnFirstRequest() {
    return requests == 1;
  }

  boolean isBusy() {
    return inProgress > 0;
  }

  boolean hasRestedFor(Duration rest) {
    return !isBusy() && System.nanoTime() - restingSinceNanos >= rest.toNanos();
  }

  void close() {
    connection.close();
  }
}

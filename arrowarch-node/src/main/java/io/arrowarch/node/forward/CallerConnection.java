package io.arrowarch.node.forward;

import io.arrowarch.core.memory.CallerAccount;
import io.arrowarch.node.http.RequestGuard;
import io.vertx.core.http.HttpConnection;
import java.time.Duration;

/** A caller's connection: what it holds, whether a request is in progress, and since when not. */
final class CallerConnection {
  /** A caller that reads while it writes has read a refusal by then. */
  private static final Duration LINGER = Duration.ofSeconds(1);

  private final HttpConnection connection;
  private final RequestGuard guard;
  private final CallerAccount.Holder holder;
  private long quietSinceNanos = System.nanoTime();
  private long requests;
  private long unsentBytes;
  private long lastReadNanos;
  private long discardedBytes;
  private long lastDiscardNanos = System.nanoTime();
  private int inProgress;
  private boolean sending;
  private boolean discarding;

  CallerConnection(HttpConnection connection, RequestGuard guard, CallerAccount.Holder holder) {
    this.connection = connection;
    this.guard = guard;
    this.holder = holder;
  }

  /** Takes room for what its callers make it hold. */
  CallerAccount.Holder holder() {
    return holder;
  }

  void onRequest() {
    requests++;
    inProgress++;
    holder.awaitRouter();
  }

  /** How long the request that came last has waited behind another one. */
  Duration waitedBehind() {
    return guard.waitedBehind();
  }

  /** The answer is written from now on, and its caller must read it. */
  void onAnswering() {
    sending = true;
    unsentBytes = 0;
    lastReadNanos = System.nanoTime();
    holder.awaitCaller();
  }

  /** The answer has been written out. */
  void onAnswered() {
    sending = false;
    inProgress--;
    quietSinceNanos = System.nanoTime();
    holder.rest();
    guard.onAnswered();
  }

  /** The request is answered before its body has come, so that nothing else can follow it. */
  void discardRest() {
    discarding = true;
    guard.discardRest();
  }

  /** Whether the request that came last is the first. */
  boolean isOnFirstRequest() {
    return requests == 1;
  }

  boolean isBusy() {
    return inProgress > 0;
  }

  boolean hasRestedFor(Duration rest) {
    return !isBusy() && isQuietFor(rest);
  }

  /** Whether a head that has begun is not whole after this time. */
  boolean hasAwaitedHeadFor(Duration time) {
    return guard.hasAwaitedHeadFor(time);
  }

  /**
   * Whether a caller that was refused while it was writing has had the time to read that: it has
   * paused, or has gone on for too long.
   *
   * @param maximumBytes that are read of it once it has had the time
   */
  boolean hasLingered(long maximumBytes) {
    long bytes = guard.discardedBytes();
    if (bytes != discardedBytes) {
      discardedBytes = bytes;
      lastDiscardNanos = System.nanoTime();
    }
    return discarding
        && !isBusy()
        && isQuietFor(LINGER)
        && (bytes > maximumBytes || System.nanoTime() - lastDiscardNanos >= LINGER.toNanos());
  }

  private boolean isQuietFor(Duration time) {
    return System.nanoTime() - quietSinceNanos >= time.toNanos();
  }

  /**
   * Looks whether the caller goes on reading its answer.
   *
   * @return whether it has read nothing for too long
   */
  boolean hasStoppedReading(Duration longest) {
    if (!sending) {
      return false;
    }
    long nowNanos = System.nanoTime();
    long left = guard.unsentBytes();
    if (left < unsentBytes) {
      holder.onProgress(unsentBytes - left);
      lastReadNanos = nowNanos;
    }
    unsentBytes = left;
    return nowNanos - lastReadNanos >= longest.toNanos();
  }

  void close() {
    connection.close();
  }

  /** Closes the connection whatever is still to be written. */
  void abort() {
    RequestGuard.abort(connection);
  }
}

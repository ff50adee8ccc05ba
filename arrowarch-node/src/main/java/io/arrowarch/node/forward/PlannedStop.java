package io.arrowarch.node.forward;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * The end of a planned stop: callers are served on while the platform turns away; then idle
 * connections are closed, and the process may end when nothing is in progress.
 */
final class PlannedStop {
  private static final Duration POLL = Duration.ofMillis(20);

  /** The platform asks once a second and turns away after two misses. */
  private static final double TURN_AWAY_FRACTION = 0.5;

  /** A stop ends in any case before the process is killed. */
  private static final double LAST_FRACTION = 0.85;

  /** A caller's connection that was quiet for this long has no request on its way. */
  private static final Duration QUIET = Duration.ofMillis(300);

  private final Vertx vertx;
  private final CallerServer callers;
  private final DelegateServer delegated;
  private final long graceNanos;
  private final long startNanos = System.nanoTime();

  PlannedStop(Vertx vertx, CallerServer callers, DelegateServer delegated, Duration grace) {
    this.vertx = vertx;
    this.callers = callers;
    this.delegated = delegated;
    this.graceNanos = grace.toNanos();
  }

  /**
   * Runs; completes when the process may exit.
   *
   * @param onStopped told what is left then; empty when nothing is
   */
  Future<Void> run(Consumer<String> onStopped) {
    Promise<Void> ended = Promise.promise();
    vertx.setPeriodic(
        POLL.toMillis(),
        id -> {
          long elapsed = System.nanoTime() - startNanos;
          boolean turnedAway = elapsed > TURN_AWAY_FRACTION * graceNanos;
          if (turnedAway) {
            callers.closeIdle(QUIET);
          }
          boolean done =
              turnedAway && callers.connectionCount() == 0 && delegated.inProgress() == 0;
          if (done || elapsed > LAST_FRACTION * graceNanos) {
            vertx.cancelTimer(id);
            onStopped.accept(done ? "" : callers.connectionCount() + " connections left");
            callers.close().onComplete(closed -> ended.complete());
          }
        });
    return ended.future();
  }
}

package io.arrowarch.node.forward;

import io.arrowarch.core.forward.ForwardingRouter;
import io.arrowarch.node.EventLoopDriver;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * A planned stop: callers are served on while the platform turns away. From then on idle
 * connections are closed and nothing is started that may outlast the process. The process may end
 * when nothing is in progress; what still is when its time is over gets a final answer first.
 */
final class PlannedStop {
  private static final Duration POLL = Duration.ofMillis(20);

  /** The platform asks once a second and turns away after two misses. */
  private static final double TURN_AWAY_FRACTION = 0.5;

  /** When requests end in any case; the rest of the grace is for sending their answers. */
  private static final double LAST_FRACTION = 0.85;

  private static final double LAST_CLOSE_FRACTION = 0.1;

  /** A caller's connection that was quiet for this long has no request on its way. */
  private static final Duration QUIET = Duration.ofMillis(300);

  private final Vertx vertx;
  private final EventLoopDriver driver;
  private final ForwardingRouter router;
  private final CallerServer callers;
  private final DelegateServer delegated;
  private final Duration grace;
  private final long startNanos;
  private boolean turnedAway;

  /**
   * Creates a stop.
   *
   * @param startNanos when the grace began, by {@link System#nanoTime}
   */
  PlannedStop(
      Vertx vertx,
      EventLoopDriver driver,
      ForwardingRouter router,
      CallerServer callers,
      DelegateServer delegated,
      Duration grace,
      long startNanos) {
    this.vertx = vertx;
    this.driver = driver;
    this.router = router;
    this.callers = callers;
    this.delegated = delegated;
    this.grace = grace;
    this.startNanos = startNanos;
  }

  /**
   * Runs; completes when the process may exit.
   *
   * @param onStopped told what was left when requests ended; empty when nothing was
   */
  Future<Void> run(Consumer<String> onStopped) {
    Promise<Void> ended = Promise.promise();
    vertx.setPeriodic(
        POLL.toMillis(),
        id -> {
          if (!turnedAway && hasPassed(TURN_AWAY_FRACTION)) {
            turnedAway = true;
            driver.run(() -> router.startNoneBeyond(startNanos + nanosOf(LAST_FRACTION)));
          }
          if (turnedAway) {
            callers.closeIdle(QUIET);
          }
          boolean idle =
              turnedAway && callers.connectionCount() == 0 && delegated.inProgress() == 0;
          if (idle || hasPassed(LAST_FRACTION)) {
            vertx.cancelTimer(id);
            end(onStopped).onComplete(closed -> ended.complete());
          }
        });
    return ended.future();
  }

  private Future<Void> end(Consumer<String> onStopped) {
    int left = router.coordinator().inProgress();
    driver.run(router::endRequests);
    onStopped.accept(left == 0 ? "" : left + " requests ended early");
    return callers.close(Duration.ofNanos(nanosOf(LAST_CLOSE_FRACTION)));
  }

  private boolean hasPassed(double fraction) {
    return System.nanoTime() - startNanos > nanosOf(fraction);
  }

  private long nanosOf(double fraction) {
    return (long) (fraction * grace.toNanos());
  }
}

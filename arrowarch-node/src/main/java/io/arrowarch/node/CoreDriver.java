package io.arrowarch.node;

import com.google.common.flogger.FluentLogger;
import io.arrowarch.core.router.RouterCore;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.OptionalLong;

/**
 * Runs the core on one event loop: every call to the core goes through {@link #run}, which
 * afterwards arms the one Vert.x timer that the core's next timer needs.
 */
final class CoreDriver {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NO_TIMER = -1;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Vertx vertx;
  private final Context context;
  private RouterCore core;
  private long vertxTimer = NO_TIMER;
  private long armedForNanos;

  CoreDriver(Vertx vertx, Context context) {
    this.vertx = vertx;
    this.context = context;
  }

  void setCore(RouterCore core) {
    this.core = core;
  }

  RouterCore core() {
    return core;
  }

  /** Runs a task that touches the core, now when on the event loop, else soon. */
  void run(Runnable task) {
    if (Vertx.currentContext() == context) {
      runAndArm(task);
    } else {
      context.runOnContext(ignored -> runAndArm(task));
    }
  }

  private void runAndArm(Runnable task) {
    try {
      task.run();
      core.runTimers();
    } catch (RuntimeException e) {
      // A defect in one event must not stop the timers that answer all other queries.
      logger.atSevere().withCause(e).log("Core: an event failed.");
    } finally {
      arm();
    }
  }

  private void arm() {
    OptionalLong next = core.nextTimerNanos();
    if (next.isEmpty() || (vertxTimer != NO_TIMER && armedForNanos <= next.getAsLong())) {
      return;
    }
    if (vertxTimer != NO_TIMER) {
      vertx.cancelTimer(vertxTimer);
    }
    armedForNanos = next.getAsLong();
    long delayNanos = armedForNanos - System.nanoTime();
    long delayMillis = Math.max(1, (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    vertxTimer =
        vertx.setTimer(
            delayMillis,
            id -> {
              vertxTimer = NO_TIMER;
              runAndArm(() -> {});
            });
  }
}

package io.arrowarch.node;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Runs decisions on one event loop: every call to them goes through {@link #run}, which afterwards
 * arms the one Vert.x timer that their next timer needs.
 */
public final class EventLoopDriver {
  private static final long NO_TIMER = -1;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Vertx vertx;
  private final Context context;
  private final Runnable runTimers;
  private final Supplier<OptionalLong> nextTimerNanos;
  private long vertxTimer = NO_TIMER;
  private long armedForNanos;

  /**
   * Creates a driver.
   *
   * @param runTimers runs the timers that are due
   * @param nextTimerNanos when the next one is due, on {@link System#nanoTime}
   */
  public EventLoopDriver(
      Vertx vertx, Context context, Runnable runTimers, Supplier<OptionalLong> nextTimerNanos) {
    this.vertx = vertx;
    this.context = context;
    this.runTimers = runTimers;
    this.nextTimerNanos = nextTimerNanos;
  }

  /** Runs a task, now when on the event loop, else soon. */
  public void run(Runnable task) {
    if (Vertx.currentContext() == context) {
      runAndArm(task);
    } else {
      context.runOnContext(ignored -> runAndArm(task));
    }
  }

  private void runAndArm(Runnable task) {
    try {
      task.run();
      runTimers.run();
    } catch (RuntimeException | StackOverflowError e) {
      // A defect in one event must not stop the timers that answer all other requests.
      Log.logger.atSevere().withCause(e).log("Core: an event failed.");
    } finally {
      arm();
    }
  }

  private void arm() {
    OptionalLong next = nextTimerNanos.get();
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

  /** Opened by the first line, since it takes a sixth of a process's start. */
  private static final class Log {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  }
}

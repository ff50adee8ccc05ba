package io.arrowarch.emulator;

import io.arrowarch.core.time.TimerQueue;
import io.vertx.core.Vertx;
import java.util.OptionalLong;

/** Runs a {@link TimerQueue} on the current Vert.x event loop. */
public final class EventLoopTimers {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Vertx vertx;
  private final TimerQueue queue;
  private long armedForNanos = Long.MAX_VALUE;

  /** Creates a driver; all calls must be on one event loop. */
  public EventLoopTimers(Vertx vertx, TimerQueue queue) {
    this.vertx = vertx;
    this.queue = queue;
  }

  /** Runs a task that may add timers, then whatever is due. */
  public void run(Runnable task) {
    task.run();
    queue.runDue(System.nanoTime());
    arm();
  }

  private void arm() {
    OptionalLong next = queue.nextDueNanos();
    if (next.isEmpty() || armedForNanos <= next.getAsLong()) {
      return;
    }
    armedForNanos = next.getAsLong();
    long delayMillis = (armedForNanos - System.nanoTime() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    vertx.setTimer(
        Math.max(1, delayMillis),
        id -> {
          armedForNanos = Long.MAX_VALUE;
          run(() -> {});
        });
  }
}

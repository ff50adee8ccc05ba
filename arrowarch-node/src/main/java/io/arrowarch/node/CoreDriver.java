package io.arrowarch.node;

import io.arrowarch.core.router.RouterCore;
import io.vertx.core.Context;
import io.vertx.core.Vertx;

/** Runs a {@link RouterCore} on one event loop. */
final class CoreDriver {
  private final EventLoopDriver driver;
  private RouterCore core;

  CoreDriver(Vertx vertx, Context context) {
    driver =
        new EventLoopDriver(vertx, context, () -> core.runTimers(), () -> core.nextTimerNanos());
  }

  void setCore(RouterCore core) {
    this.core = core;
  }

  RouterCore core() {
    return core;
  }

  /** Runs a task that touches the core, now when on the event loop, else soon. */
  void run(Runnable task) {
    driver.run(task);
  }
}

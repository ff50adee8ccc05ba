package io.arrowarch.core.intake;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The polls of a loop at which nothing else arrives: each task runs at once, or after the others.
 */
public final class NoArrivals implements ArrivalPoll {
  private final Queue<Runnable> tasks = new ArrayDeque<>();
  private boolean running;

  @Override
  public void afterArrivals(Runnable task) {
    tasks.add(task);
    if (running) {
      return;
    }
    running = true;
    try {
      while (!tasks.isEmpty()) {
        tasks.remove().run();
      }
    } finally {
      running = false;
    }
  }
}

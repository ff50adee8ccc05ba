package io.arrowarch.core.forward;

import com.google.common.base.Throwables;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Runs tasks one after the other, in the order in which they are submitted. A task that is
 * submitted while another one runs starts after that one has returned. The depth of the stack
 * therefore does not depend on how many tasks submit each other: a request that ends another
 * request submits that as a task.
 *
 * <p>A task that throws does not keep later ones from running. Not thread-safe.
 */
final class WorkQueue {
  /** The traces of thousands of failed tasks may not fit the heap. */
  private static final int MAXIMUM_THROWN = 8;

  private final Queue<Runnable> tasks = new ArrayDeque<>();
  private boolean running;

  /**
   * Runs a task, and all tasks that it submits, before it returns; or, when called from a task,
   * returns at once and runs the task later.
   *
   * @throws RuntimeException or an {@link Error}: the first one that a task has thrown, with some
   *     of the others suppressed
   */
  void execute(Runnable task) {
    tasks.add(task);
    if (!running) {
      runAll();
    }
  }

  private void runAll() {
    List<Throwable> thrown = new ArrayList<>();
    running = true;
    while (!tasks.isEmpty()) {
      try {
        tasks.remove().run();
      } catch (RuntimeException | Error e) {
        if (thrown.size() < MAXIMUM_THROWN && !thrown.contains(e)) {
          thrown.add(e);
        }
      }
    }
    running = false;
    if (!thrown.isEmpty()) {
      Throwable first = thrown.get(0);
      thrown.stream().skip(1).forEach(first::addSuppressed);
      Throwables.throwIfUnchecked(first);
    }
  }
}

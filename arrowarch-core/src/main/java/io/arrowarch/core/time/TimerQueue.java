package io.arrowarch.core.time;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/**
 * Timers of one core instance. The owner calls {@link #runDue}. Not thread-safe: the owner must
 * serialise all calls.
 */
public final class TimerQueue {
  /** Fewer cancelled timers than this are left where they are until they are due. */
  private static final int FEW_CANCELLED = 64;

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.comparingLong((Timer timer) -> timer.dueNanos)
              .thenComparingLong(timer -> timer.sequence));
  private long nextSequence;
  private boolean running;
  private int cancelledTimers;

  /** Runs {@code task} at the first {@link #runDue} at or after {@code dueNanos}. */
  public Timer schedule(long dueNanos, Runnable task) {
    Timer timer = new Timer(dueNanos, nextSequence++, task);
    timers.add(timer);
    return timer;
  }

  /**
   * Runs all due timers in order of their due time, and in order of creation for equal ones. Does
   * nothing when called from a timer: the call that runs that timer goes on with the others, so
   * that the depth of the stack does not depend on how many are due.
   */
  public void runDue(long nowNanos) {
    runDue(() -> nowNanos, Duration.ofNanos(Long.MAX_VALUE));
  }

  /**
   * Runs due timers as {@link #runDue(long)} does, but begins none after a time. The others stay
   * due, so that their owner can handle what has arrived before them.
   *
   * @param nanoTime the clock of the timers
   */
  public void runDue(LongSupplier nanoTime, Duration longest) {
    if (running) {
      return;
    }
    running = true;
    long startNanos = nanoTime.getAsLong();
    long nowNanos = startNanos;
    try {
      while (isDue(nowNanos) && nowNanos - startNanos < longest.toNanos()) {
        Optional<Runnable> task = takeFirst();
        if (task.isPresent()) {
          task.get().run();
          nowNanos = nanoTime.getAsLong();
        }
      }
    } finally {
      running = false;
    }
  }

  private boolean isDue(long nowNanos) {
    return !timers.isEmpty() && timers.peek().dueNanos <= nowNanos;
  }

  /** Removes the first timer; its task, unless it was cancelled. */
  private Optional<Runnable> takeFirst() {
    Timer first = timers.remove();
    Optional<Runnable> task = first.task;
    if (task.isEmpty()) {
      cancelledTimers--;
    }
    first.task = Optional.empty();
    return task;
  }

  /** Cancelled timers take room until they are removed, which is long after most of them. */
  private void removeCancelled() {
    if (cancelledTimers > FEW_CANCELLED && cancelledTimers > timers.size() / 2) {
      timers.removeIf(timer -> timer.task.isEmpty());
      cancelledTimers = 0;
    }
  }

  /** The due time of the next timer; empty if there is none. */
  public OptionalLong nextDueNanos() {
    while (!timers.isEmpty() && timers.peek().task.isEmpty()) {
      Optional<Runnable> unused = takeFirst();
    }
    return timers.isEmpty() ? OptionalLong.empty() : OptionalLong.of(timers.peek().dueNanos);
  }

  /** A scheduled task. */
  public final class Timer {
    private final long dueNanos;
    private final long sequence;

    /** Empty once it has run or was cancelled, so that what it uses can be collected. */
    private Optional<Runnable> task;

    private Timer(long dueNanos, long sequence, Runnable task) {
      this.dueNanos = dueNanos;
      this.sequence = sequence;
      this.task = Optional.of(task);
    }

    /** Prevents the task from running; has no effect once it has run. */
    public void cancel() {
      if (task.isPresent()) {
        task = Optional.empty();
        cancelledTimers++;
        removeCancelled();
      }
    }
  }
}

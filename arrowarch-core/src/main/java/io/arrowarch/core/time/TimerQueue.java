package io.arrowarch.core.time;

import java.time.Duration;
import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/**
 * Timers of one core instance. The owner calls {@link #runDue}. Not thread-safe: the owner must
 * serialise all calls.
 */
public final class TimerQueue {
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.comparingLong((Timer timer) -> timer.dueNanos)
              .thenComparingLong(timer -> timer.sequence));
  private long nextSequence;
  private boolean running;

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
        Timer timer = timers.poll();
        if (!timer.cancelled) {
          timer.task.run();
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

  /** The due time of the next timer; empty if there is none. */
  public OptionalLong nextDueNanos() {
    while (!timers.isEmpty() && timers.peek().cancelled) {
      timers.poll();
    }
    return timers.isEmpty() ? OptionalLong.empty() : OptionalLong.of(timers.peek().dueNanos);
  }

  /** A scheduled task. */
  public static final class Timer {
    private final long dueNanos;
    private final long sequence;
    private final Runnable task;
    private boolean cancelled;

    private Timer(long dueNanos, long sequence, Runnable task) {
      this.dueNanos = dueNanos;
      this.sequence = sequence;
      this.task = task;
    }

    /** Prevents the task from running; has no effect once it has run. */
    public void cancel() {
      cancelled = true;
    }
  }
}

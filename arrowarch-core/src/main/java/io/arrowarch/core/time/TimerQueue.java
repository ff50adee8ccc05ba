package io.arrowarch.core.time;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;

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

  /** Runs {@code task} at the first {@link #runDue} at or after {@code dueNanos}. */
  public Timer schedule(long dueNanos, Runnable task) {
    Timer timer = new Timer(dueNanos, nextSequence++, task);
    timers.add(timer);
    return timer;
  }

  /** Runs all due timers in order of their due time, and in order of creation for equal ones. */
  public void runDue(long nowNanos) {
    while (!timers.isEmpty() && timers.peek().dueNanos <= nowNanos) {
      Timer timer = timers.poll();
      if (!timer.cancelled) {
        timer.task.run();
      }
    }
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

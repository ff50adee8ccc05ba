package io.arrowarch.core.time;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Notices that a machine was suspended: a clock that counts that time has moved on further than the
 * steady one. A clock that somebody sets forward looks the same and is taken for it, which costs a
 * refresh of what is trusted for its age; one that is set back is not noticed.
 */
public final class SuspensionLog {
  /** Smaller differences come from reading two clocks one after the other, and from their drift. */
  private static final Duration LEAST = Duration.ofMillis(50);

  /** Older suspensions are counted with the oldest of these. */
  private static final int MOST_REMEMBERED = 32;

  private final Deque<Suspension> suspensions = new ArrayDeque<>();
  private long lastDifference;

  /** Time that the steady clock has left out some time before it was noticed. */
  private record Suspension(long noticedNanos, long lengthNanos) {}

  /**
   * Creates a log.
   *
   * @param steadyNanos the steady clock
   * @param otherNanos the clock that goes on while the machine is suspended
   */
  public SuspensionLog(long steadyNanos, long otherNanos) {
    this.lastDifference = otherNanos - steadyNanos;
  }

  /** Compares the clocks; to be called before anything is trusted for its age. */
  public void notice(long steadyNanos, long otherNanos) {
    long difference = otherNanos - steadyNanos;
    long lengthNanos = difference - lastDifference;
    lastDifference = difference;
    if (lengthNanos >= LEAST.toNanos()) {
      add(new Suspension(steadyNanos, lengthNanos));
    }
  }

  private void add(Suspension suspension) {
    suspensions.addLast(suspension);
    if (suspensions.size() > MOST_REMEMBERED) {
      Suspension oldest = suspensions.removeFirst();
      Suspension next = suspensions.removeFirst();
      suspensions.addFirst(
          new Suspension(next.noticedNanos, oldest.lengthNanos + next.lengthNanos));
    }
  }

  /**
   * How long the machine was suspended after a moment, as far as noticed. A suspension counts whole
   * unless it was noticed before that.
   */
  public long sinceNanos(long nanos) {
    long sum = 0;
    for (Suspension suspension : suspensions) {
      if (suspension.noticedNanos >= nanos) {
        sum += suspension.lengthNanos;
      }
    }
    return sum;
  }
}

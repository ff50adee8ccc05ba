package io.arrowarch.core.time;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects that the machine was suspended by comparing two clocks: one that goes on during a
 * suspension, such as the wall clock, and the monotonic clock, which does not. A wall clock that is
 * set forward looks the same and counts as a suspension, which costs a refresh of data that is
 * trusted for its age. A clock that is set back is not detected, and can hide a suspension between
 * the same two comparisons.
 */
public final class SuspensionLog {
  /** Smaller differences are caused by reading the clocks one after the other and by drift. */
  private static final Duration MIN_SUSPENSION = Duration.ofMillis(50);

  /** Older suspensions are merged into the oldest of these. */
  private static final int MAX_REMEMBERED = 32;

  private final Deque<Suspension> suspensions = new ArrayDeque<>();
  private long lastDifference;

  /** A suspension that ended before it was noticed. */
  private record Suspension(long noticedNanos, long lengthNanos) {}

  /**
   * Creates an empty log.
   *
   * @param monotonicNanos the present value of the monotonic clock
   * @param wallNanos the present value of the clock that goes on during a suspension, from any
   *     origin
   */
  public SuspensionLog(long monotonicNanos, long wallNanos) {
    this.lastDifference = wallNanos - monotonicNanos;
  }

  /** Compares the clocks. Must be called before data is trusted for its age. */
  public void compareClocks(long monotonicNanos, long wallNanos) {
    long difference = wallNanos - monotonicNanos;
    long lengthNanos = difference - lastDifference;
    lastDifference = difference;
    if (lengthNanos >= MIN_SUSPENSION.toNanos()) {
      add(new Suspension(monotonicNanos, lengthNanos));
    }
  }

  private void add(Suspension suspension) {
    suspensions.addLast(suspension);
    if (suspensions.size() > MAX_REMEMBERED) {
      Suspension oldest = suspensions.removeFirst();
      Suspension next = suspensions.removeFirst();
      suspensions.addFirst(
          new Suspension(next.noticedNanos, oldest.lengthNanos + next.lengthNanos));
    }
  }

  /**
   * How long the machine was suspended since a given time on the monotonic clock, as far as
   * noticed. A suspension that was noticed after that time counts in full, even if it began
   * earlier.
   */
  public long suspendedSinceNanos(long nanos) {
    long sum = 0;
    for (Suspension suspension : suspensions) {
      if (suspension.noticedNanos >= nanos) {
        sum += suspension.lengthNanos;
      }
    }
    return sum;
  }
}

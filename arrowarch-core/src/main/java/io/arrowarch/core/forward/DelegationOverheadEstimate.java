package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * Estimates the time that delegating a search adds to the other router's own work: the network in
 * both directions, and reading and writing the messages at both ends. Most of it is delay in this
 * router, so one estimate serves for all other routers.
 */
final class DelegationOverheadEstimate {
  /** Fraction of the objective used before the first measurement, while the code is still cold. */
  private static final double INITIAL_FRACTION = 0.2;

  /** Lower bound, as a fraction of the objective; shorter measurements are not trusted. */
  private static final double MINIMUM_FRACTION = 0.03;

  /**
   * Upper bound, as a fraction of the objective; with a larger reserve, the other router would have
   * too little time and most parts would be missing.
   */
  private static final double MAXIMUM_FRACTION = 0.4;

  private long lastNanos = -1;
  private long previousNanos = -1;

  /** Records the measured overhead of one delegation. */
  void record(long nanos) {
    previousNanos = lastNanos;
    lastNanos = nanos;
  }

  /**
   * The time to reserve from an objective: the longer of the last two measurements, within bounds.
   * It is the longer one because a late answer has a tenth of its full value, while an early one
   * only lacks a few parts.
   */
  long nanos(Duration objective) {
    long objectiveNanos = objective.toNanos();
    if (lastNanos < 0) {
      return (long) (INITIAL_FRACTION * objectiveNanos);
    }
    long longer = Math.max(lastNanos, previousNanos);
    long least = (long) (MINIMUM_FRACTION * objectiveNanos);
    long most = (long) (MAXIMUM_FRACTION * objectiveNanos);
    return Math.min(most, Math.max(least, longer));
  }
}

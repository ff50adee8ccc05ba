package io.arrowarch.core.forward;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What one router knows of another as a delegate: what it was handed, how it did, the way to it.
 * The way is kept as TCP keeps its round-trip time (RFC 6298): a mean and a mean deviation.
 */
final class DelegateState {
  private static final Duration FIRST_SUSPENSION = Duration.ofSeconds(1);
  private static final int MAXIMUM_DOUBLINGS = 2;
  private static final double MEAN_WEIGHT = 0.125;
  private static final double DEVIATION_WEIGHT = 0.25;
  private static final int DEVIATIONS = 4;

  /** What was measured of the way counts half after this long, so that it is tried again. */
  private static final Duration WAY_HALF_LIFE = Duration.ofSeconds(5);

  private final Map<Long, Long> openSince = new LinkedHashMap<>();
  private long suspendedUntilNanos = Long.MIN_VALUE;
  private int suspensions;
  private boolean measured;
  private double meanNanos;
  private double deviationNanos;
  private long measuredNanos;
  private int reportedInProgress;

  void onSent(long number, long nowNanos) {
    openSince.put(number, nowNanos);
  }

  void onEnded(long number) {
    openSince.remove(number);
  }

  /**
   * Takes an answer.
   *
   * @param way what handing on has cost, beside the delegate's own work
   */
  void onAnswered(long way, int inProgress, long nowNanos) {
    suspensions = 0;
    reportedInProgress = inProgress;
    if (measured) {
      deviationNanos += DEVIATION_WEIGHT * (Math.abs(way - meanNanos) - deviationNanos);
      meanNanos += MEAN_WEIGHT * (way - meanNanos);
    } else {
      meanNanos = way;
      deviationNanos = way / 2.0;
    }
    measured = true;
    measuredNanos = nowNanos;
  }

  /** Notes that it takes no searches, or loses them. */
  void suspend(long nowNanos) {
    int doublings = Math.min(suspensions, MAXIMUM_DOUBLINGS);
    suspendedUntilNanos = nowNanos + (FIRST_SUSPENSION.toNanos() << doublings);
    suspensions++;
  }

  boolean isSuspended(long nowNanos) {
    return nowNanos < suspendedUntilNanos;
  }

  /** How long the oldest search has been there; 0 without one. */
  long oldestOpenNanos(long nowNanos) {
    return openSince.isEmpty() ? 0 : nowNanos - openSince.values().iterator().next();
  }

  /** What the way is likely to cost at most; 0 while nothing is known. */
  double wayNanos(long nowNanos) {
    double halfLives = (double) (nowNanos - measuredNanos) / WAY_HALF_LIFE.toNanos();
    return (meanNanos + DEVIATIONS * deviationNanos) * Math.pow(0.5, halfLives);
  }

  /** Requests that it is likely to hold. */
  int load() {
    return openSince.size() + reportedInProgress;
  }
}

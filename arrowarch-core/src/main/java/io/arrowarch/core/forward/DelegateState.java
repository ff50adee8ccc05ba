package io.arrowarch.core.forward;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What this router knows about another one as a delegate: open searches, suspension after failures,
 * and the delegation overhead. The overhead is estimated as TCP estimates its round-trip time (RFC
 * 6298), by a smoothed mean and a mean deviation.
 */
final class DelegateState {
  private static final Duration FIRST_SUSPENSION = Duration.ofSeconds(1);
  private static final int MAXIMUM_DOUBLINGS = 2;
  private static final double MEAN_WEIGHT = 0.125;
  private static final double DEVIATION_WEIGHT = 0.25;
  private static final int DEVIATIONS = 4;

  /**
   * The overhead estimate halves in this time since the last answer, so that a slow delegate is
   * tried again. The decay also runs between two answers of a busy one.
   */
  private static final Duration OVERHEAD_HALF_LIFE = Duration.ofSeconds(5);

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
   * Records an answer.
   *
   * @param overheadNanos nanoseconds from sending to answer, without the delegate's own processing
   *     time
   * @param inProgress number of requests in progress at the delegate
   */
  void onAnswered(long overheadNanos, int inProgress, long nowNanos) {
    suspensions = 0;
    reportedInProgress = inProgress;
    if (measured) {
      deviationNanos += DEVIATION_WEIGHT * (Math.abs(overheadNanos - meanNanos) - deviationNanos);
      meanNanos += MEAN_WEIGHT * (overheadNanos - meanNanos);
    } else {
      meanNanos = overheadNanos;
      deviationNanos = overheadNanos / 2.0;
    }
    measured = true;
    measuredNanos = nowNanos;
  }

  /**
   * Suspends the delegate after it has declined or lost a search. Each repeated suspension lasts
   * twice as long as the one before, up to {@link #MAXIMUM_DOUBLINGS}; an answer resets the length.
   */
  void suspend(long nowNanos) {
    int doublings = Math.min(suspensions, MAXIMUM_DOUBLINGS);
    suspendedUntilNanos = nowNanos + (FIRST_SUSPENSION.toNanos() << doublings);
    suspensions++;
  }

  boolean isSuspended(long nowNanos) {
    return nowNanos < suspendedUntilNanos;
  }

  /** The age of the oldest open search; 0 if there is none. */
  long oldestOpenNanos(long nowNanos) {
    return openSince.isEmpty() ? 0 : nowNanos - openSince.values().iterator().next();
  }

  /** An upper estimate of the delegation overhead; 0 before the first answer. */
  double estimatedOverheadNanos(long nowNanos) {
    double halfLives = (double) (nowNanos - measuredNanos) / OVERHEAD_HALF_LIFE.toNanos();
    return (meanNanos + DEVIATIONS * deviationNanos) * Math.pow(0.5, halfLives);
  }

  /** The estimated number of requests in progress at the delegate. */
  int load() {
    return openSince.size() + reportedInProgress;
  }
}

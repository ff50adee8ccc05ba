package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * What it is likely to cost this router to hand a search on, beside the other router's own work:
 * both ways, and the time that either takes to read and write the messages. Most of it is this
 * router's own slowness, so that one estimate serves for all others.
 */
final class WayEstimate {
  /** Taken until an answer has come: a router that has handed nothing on is cold. */
  private static final double UNMEASURED = 0.2;

  /** Less than this part of the objective is not believed. */
  private static final double LEAST = 0.03;

  /** More is not kept back: the other router would answer without most parts. */
  private static final double MOST = 0.4;

  private long lastNanos = -1;
  private long previousNanos = -1;

  /** Takes what handing a search on has cost. */
  void record(long nanos) {
    previousNanos = lastNanos;
    lastNanos = nanos;
  }

  /**
   * What to keep back of an objective: the longer of the last two. An answer that is late is worth
   * a tenth, one that is early lacks a few parts.
   */
  long nanos(Duration objective) {
    long objectiveNanos = objective.toNanos();
    if (lastNanos < 0) {
      return (long) (UNMEASURED * objectiveNanos);
    }
    long longer = Math.max(lastNanos, previousNanos);
    long least = (long) (LEAST * objectiveNanos);
    long most = (long) (MOST * objectiveNanos);
    return Math.min(most, Math.max(least, longer));
  }
}

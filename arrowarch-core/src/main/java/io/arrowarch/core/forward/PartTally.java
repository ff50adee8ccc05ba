package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.event.RouterEvent;

/** Counts the answered and lost parts of a request, and decides whether they allow an answer. */
final class PartTally {
  private final ImmutableList<PartProgress> parts;
  private final int minimum;
  private int answered;
  private int lost;

  /**
   * Creates a tally of parts without attempts.
   *
   * @param minimum number of parts that an answer needs
   */
  PartTally(ImmutableList<PartProgress> parts, int minimum) {
    this.parts = parts;
    this.minimum = minimum;
  }

  ImmutableList<PartProgress> parts() {
    return parts;
  }

  int answered() {
    return answered;
  }

  void onAnswered(int more) {
    answered += more;
  }

  void onLost(int more) {
    lost += more;
  }

  /** Whether enough parts are answered to build an answer. */
  boolean hasMinimum() {
    return answered >= minimum;
  }

  /** Whether so many parts are lost that no answer can be built. */
  boolean cannotReachMinimum() {
    return isBelowMinimum(parts.size() - lost);
  }

  /** Whether this number of parts is too small to build an answer. */
  boolean isBelowMinimum(int reachable) {
    return reachable < minimum;
  }

  /** Whether every part is answered or lost. */
  boolean isSettled() {
    return answered + lost == parts.size();
  }

  int missing() {
    return parts.size() - answered;
  }

  /** Number of attempts sent for all parts. */
  int sent() {
    return parts.stream().mapToInt(PartProgress::sent).sum();
  }

  /** Whether it is certain that no server has run any part. */
  boolean isProvenNotRun() {
    return parts.stream().allMatch(part -> part.possibleRuns() == 0);
  }

  /** Describes for operators what was done for the parts that are not answered. */
  ImmutableList<RouterEvent.MissingPart> describeMissing(long nowNanos) {
    return parts.stream()
        .filter(part -> !part.isAnswered())
        .map(part -> part.describeMissing(nowNanos))
        .collect(ImmutableList.toImmutableList());
  }
}

package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.event.RouterEvent;

/** How many parts of a request are in, lost or awaited, and what that allows. */
final class PartTally {
  private final ImmutableList<PartProgress> parts;
  private final int minimum;
  private int in;
  private int lost;

  /**
   * Creates a tally of parts for which nothing has been done.
   *
   * @param minimum parts that an answer needs
   */
  PartTally(ImmutableList<PartProgress> parts, int minimum) {
    this.parts = parts;
    this.minimum = minimum;
  }

  ImmutableList<PartProgress> parts() {
    return parts;
  }

  int in() {
    return in;
  }

  void onIn(int more) {
    in += more;
  }

  void onLost(int more) {
    lost += more;
  }

  /** Whether what is in makes an answer. */
  boolean isEnough() {
    return in >= minimum;
  }

  /** Whether so few can still come that there will be no answer. */
  boolean isHopeless() {
    return isHopelessWith(parts.size() - lost);
  }

  /** Whether so few parts would make no answer. */
  boolean isHopelessWith(int reachable) {
    return reachable < minimum;
  }

  /** Whether nothing more can come. */
  boolean isSettled() {
    return in + lost == parts.size();
  }

  int missing() {
    return parts.size() - in;
  }

  /** Attempts of all parts. */
  int sent() {
    return parts.stream().mapToInt(PartProgress::sent).sum();
  }

  /** Whether no server can have run any of them. */
  boolean isProvenNotRun() {
    return parts.stream().allMatch(part -> part.maybeRun() == 0);
  }

  /** For operators: what has been done for those that are not in. */
  ImmutableList<RouterEvent.MissingPart> describeMissing(long nowNanos) {
    return parts.stream()
        .filter(part -> !part.isAnswered())
        .map(part -> part.describeMissing(nowNanos))
        .collect(ImmutableList.toImmutableList());
  }
}

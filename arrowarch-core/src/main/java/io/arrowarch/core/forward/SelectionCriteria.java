package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * Inputs to the choice of a server for an attempt.
 *
 * @param expectedNanos the usual duration of an attempt
 * @param otherZonePenaltyNanos by how much a server of another zone must be faster to be chosen
 */
record SelectionCriteria(long expectedNanos, long otherZonePenaltyNanos) {
  /**
   * A server of another zone is chosen only if it is faster by at least this fraction of the
   * objective. An answer has the same value at any time before the objective, and traffic between
   * zones is expensive.
   */
  private static final double OWN_ZONE_PREFERENCE = 0.2;

  static SelectionCriteria of(long expectedNanos, Duration objective, boolean ownZoneFirst) {
    long penaltyNanos = (long) (OWN_ZONE_PREFERENCE * objective.toNanos());
    return new SelectionCriteria(expectedNanos, ownZoneFirst ? penaltyNanos : 0);
  }
}

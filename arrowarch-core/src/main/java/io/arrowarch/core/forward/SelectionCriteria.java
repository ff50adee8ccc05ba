package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * The values of a request that the choice of a server depends on.
 *
 * @param expectedNanos the usual duration of an attempt
 * @param otherZonePenaltyNanos by how much a server of another zone must be faster to be chosen
 */
record SelectionCriteria(long expectedNanos, long otherZonePenaltyNanos) {
  /**
   * Fraction of the objective that a server of another zone must be faster. An answer has the same
   * value at any time before the objective, and traffic between zones is expensive.
   */
  private static final double OWN_ZONE_PREFERENCE = 0.2;

  static SelectionCriteria of(long expectedNanos, Duration objective, boolean ownZoneFirst) {
    long penaltyNanos = (long) (OWN_ZONE_PREFERENCE * objective.toNanos());
    return new SelectionCriteria(expectedNanos, ownZoneFirst ? penaltyNanos : 0);
  }
}

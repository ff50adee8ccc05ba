package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * The values of a request that the choice of a server depends on.
 *
 * @param expectedNanos the usual duration of an attempt
 * @param otherZoneNanos by how much a server of another zone must be faster to be chosen
 */
record RequestPace(long expectedNanos, long otherZoneNanos) {
  /**
   * Fraction of the objective that a server of another zone must be faster. An answer has the same
   * value at any time before the objective, and traffic between zones is expensive.
   */
  private static final double GIVEN_FOR_OWN_ZONE = 0.2;

  static RequestPace of(long expectedNanos, Duration objective, boolean ownZoneFirst) {
    long given = (long) (GIVEN_FOR_OWN_ZONE * objective.toNanos());
    return new RequestPace(expectedNanos, ownZoneFirst ? given : 0);
  }
}

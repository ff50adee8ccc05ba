package io.arrowarch.core.forward;

import java.time.Duration;

/**
 * What the choice of a server for a request goes by.
 *
 * @param expectedNanos the usual length of an attempt
 * @param otherZoneNanos by how much a server of another zone must be faster to be chosen
 */
record RequestPace(long expectedNanos, long otherZoneNanos) {
  /**
   * An answer is worth the same at any moment before the objective, and bytes between zones are
   * dear: this part of the objective is given for a server of the own zone.
   */
  private static final double GIVEN_FOR_OWN_ZONE = 0.2;

  static RequestPace of(long expectedNanos, Duration objective, boolean ownZoneFirst) {
    long given = (long) (GIVEN_FOR_OWN_ZONE * objective.toNanos());
    return new RequestPace(expectedNanos, ownZoneFirst ? given : 0);
  }
}

package io.arrowarch.core.time;

import java.time.Instant;

/**
 * The clock of the core. The core reads no other clock, so that tests and simulations can run in
 * virtual time.
 */
public interface RouterClock {
  /**
   * Nanoseconds since an arbitrary origin; never goes back. Used for all intervals and deadlines.
   * May not count the time for which the machine is suspended.
   */
  long nanoTime();

  /**
   * Upper bound of the time for which the machine was suspended since a given time, as far as
   * {@link #nanoTime} does not count it. Code that relies on the age of data must add this to the
   * age.
   *
   * @param nanos the given time, as a value of {@link #nanoTime}
   */
  default long suspendedSinceNanos(long nanos) {
    return 0;
  }

  /** Wall-clock time; may jump. Used only for day windows and for initial incarnation numbers. */
  Instant wallTime();
}

package io.arrowarch.core.time;

import java.time.Instant;

/**
 * The clock that the core is given. The core reads no other, so that tests and simulations run in
 * virtual time.
 */
public interface RouterClock {
  /**
   * Nanoseconds from an arbitrary origin; never goes back. Used for every interval and deadline. A
   * machine that is suspended may leave that time out.
   */
  long nanoTime();

  /**
   * For how long the machine may have been suspended after a moment, beyond what {@link #nanoTime}
   * counts; too long rather than too short. What is trusted for its age alone must add this to it.
   *
   * @param nanos the moment, on {@link #nanoTime}
   */
  default long suspendedSinceNanos(long nanos) {
    return 0;
  }

  /** Wall-clock time; may jump. Used only for day windows and for starting incarnation numbers. */
  Instant wallTime();
}

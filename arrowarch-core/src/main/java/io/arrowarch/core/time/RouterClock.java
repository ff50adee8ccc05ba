package io.arrowarch.core.time;

import java.time.Instant;

/**
 * The clock that the core is given. The core reads no other, so that tests and simulations run in
 * virtual time.
 */
public interface RouterClock {
  /**
   * Nanoseconds from an arbitrary origin; never goes back. Used for every interval and deadline.
   */
  long nanoTime();

  /** Wall-clock time; may jump. Used only for day windows and for starting incarnation numbers. */
  Instant wallTime();
}

package io.arrowarch.core.tenant;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * How soon the revocation of an API key takes effect.
 *
 * @param strict whether a request is refused when this router cannot rule out that its key was
 *     revoked more than {@code bound} ago
 * @param bound how long after the revocation of a key requests with it may still run
 */
public record RevocationRules(boolean strict, Duration bound) {
  /**
   * Covers the drift between the clocks of two machines during the bound, and the rounding of times
   * in messages.
   */
  private static final Duration CLOCK_MARGIN = Duration.ofMillis(150);

  public RevocationRules {
    requireNonNull(bound, "bound is null");
  }

  /** Whether callers may be identified by a view of this age. */
  boolean isFresh(Duration viewAge) {
    return viewAge.compareTo(bound.minus(CLOCK_MARGIN)) < 0;
  }
}

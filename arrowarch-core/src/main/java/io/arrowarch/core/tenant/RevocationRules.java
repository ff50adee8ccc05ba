package io.arrowarch.core.tenant;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Within what time a change of tenants binds.
 *
 * @param strict whether a request must not run when this router cannot tell that its key has not
 *     been taken away longer ago than {@code bound}
 * @param bound from the moment at which a key is taken away until no request of it may run
 */
public record RevocationRules(boolean strict, Duration bound) {
  /** Clocks of two machines differ by less than this within a bound, and messages are rounded. */
  private static final Duration MARGIN = Duration.ofMillis(150);

  public RevocationRules {
    requireNonNull(bound, "bound is null");
  }

  /** Whether a view of this age may tell who a caller is. */
  boolean isFresh(Duration viewAge) {
    return viewAge.compareTo(bound.minus(MARGIN)) < 0;
  }
}

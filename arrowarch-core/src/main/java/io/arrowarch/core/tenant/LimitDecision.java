package io.arrowarch.core.tenant;

import java.time.Duration;

/** Whether a request is within the limit of its tenant. */
public sealed interface LimitDecision {
  /** The request is within the limit, or the tenant has none. */
  record Allowed() implements LimitDecision {}

  /**
   * The request exceeds the limit.
   *
   * @param retryAfter delay after which it would be within the limit, as far as is known now
   * @param by id of the router that decided
   */
  record Refused(Duration retryAfter, String by) implements LimitDecision {}
}

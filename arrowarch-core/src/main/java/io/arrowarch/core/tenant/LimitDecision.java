package io.arrowarch.core.tenant;

import java.time.Duration;

/** Whether a request is within the limit of its tenant. */
public sealed interface LimitDecision {
  /** It is, or there is none. */
  record Allowed() implements LimitDecision {}

  /**
   * It is beyond.
   *
   * @param retryAfter when it would be within, as far as is known now
   * @param by the router that says so
   */
  record Refused(Duration retryAfter, String by) implements LimitDecision {}
}

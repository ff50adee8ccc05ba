package io.arrowarch.core.query;

/**
 * Sends attempts to back ends. Implementations report the outcome of each attempt exactly once to
 * {@link QueryCoordinator}, as a reply or as a failure. They call {@link QueryCoordinator#mayWrite}
 * immediately before they write the first byte, and never resend an attempt on their own.
 */
public interface AttemptTransport {
  /** Starts sending an attempt. */
  void send(Attempt attempt);

  /** Stops an attempt whose outcome is no longer needed. It need not be reported afterwards. */
  void cancel(Attempt attempt);
}

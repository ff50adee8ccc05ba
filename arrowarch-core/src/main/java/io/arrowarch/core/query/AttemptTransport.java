package io.arrowarch.core.query;

/**
 * Carries attempts to back ends. Implementations report each attempt exactly once to {@link
 * QueryCoordinator}: a reply, or a failure. They ask {@link QueryCoordinator#mayWrite} immediately
 * before the first byte is written, and never send an attempt twice by themselves.
 */
public interface AttemptTransport {
  /** Starts sending an attempt. */
  void send(Attempt attempt);

  /** Stops an attempt that no answer waits for any more; no report is needed afterwards. */
  void cancel(Attempt attempt);
}

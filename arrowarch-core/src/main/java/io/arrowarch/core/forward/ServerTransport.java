package io.arrowarch.core.forward;

/**
 * Carries attempts to servers. Each attempt that is not cancelled is answered exactly once, by
 * {@link ForwardCoordinator#onReply} or {@link ForwardCoordinator#onFailure}. An attempt is never
 * sent twice by the transport itself.
 */
public interface ServerTransport {
  /** Starts sending. */
  void send(ServerAttempt attempt);

  /** Makes the server stop; nothing is reported afterwards. */
  void cancel(ServerAttempt attempt);
}

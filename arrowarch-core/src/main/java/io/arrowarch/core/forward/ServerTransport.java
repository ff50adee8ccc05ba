package io.arrowarch.core.forward;

/**
 * Sends attempts to servers. Each attempt that is not cancelled is reported exactly once, to {@link
 * ForwardCoordinator#onReply} or {@link ForwardCoordinator#onFailure}. The transport itself never
 * sends an attempt twice.
 */
public interface ServerTransport {
  /** Starts sending an attempt. */
  void send(ServerAttempt attempt);

  /**
   * Cancels an attempt by closing its connection, so that the server stops. Nothing is reported for
   * this attempt afterwards.
   *
   * @return whether the server may have received any of it
   */
  boolean cancel(ServerAttempt attempt);
}

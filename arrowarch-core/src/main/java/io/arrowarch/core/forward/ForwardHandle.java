package io.arrowarch.core.forward;

/** A request in progress, as seen by its submitter. */
public interface ForwardHandle {
  /**
   * Cancels the request, for instance when the caller has disconnected: no answer is delivered. Has
   * no effect after an answer.
   */
  void cancel();

  /** Whether a server may have received any of the request. */
  default boolean mayHaveRun() {
    return true;
  }

  /** Handle of a request that already has its answer. */
  ForwardHandle NONE = () -> {};
}

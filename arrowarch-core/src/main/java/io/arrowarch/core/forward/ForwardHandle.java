package io.arrowarch.core.forward;

/** A request in progress, for whoever submitted it. */
public interface ForwardHandle {
  /** The caller has gone; no answer is given any more. No effect once there is one. */
  void cancel();

  /** Of a request that has its answer already. */
  ForwardHandle NONE = () -> {};
}

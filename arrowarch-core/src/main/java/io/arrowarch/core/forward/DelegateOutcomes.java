package io.arrowarch.core.forward;

/** Told how searches that were sent to other routers have ended. */
public interface DelegateOutcomes {
  /** Receives the reply to a search. */
  void onDelegateReply(long number, DelegateReply reply);

  /** Receives the failure of a search. */
  void onDelegateFailure(long number, DelegateFailure failure);
}

package io.arrowarch.core.forward;

import io.arrowarch.core.suspect.RequestKey;
import io.arrowarch.core.suspect.Standing;
import io.arrowarch.core.suspect.SuspectRequests;
import java.util.Optional;

/**
 * Decides whether attempts of one request may still be sent, and reports to {@link SuspectRequests}
 * which attempts were answered and which lost their connection.
 */
final class RequestMonitor {
  private final SuspectRequests suspects;
  private final ForwardedRequest request;
  private final RunPermit permit;
  private final boolean canary;
  private Optional<RequestKey> key = Optional.empty();
  private boolean answered;

  private RequestMonitor(
      SuspectRequests suspects, ForwardedRequest request, RunPermit permit, boolean canary) {
    this.suspects = suspects;
    this.request = request;
    this.permit = permit;
    this.canary = canary;
  }

  /** For a request that runs as usual. */
  static RequestMonitor of(SuspectRequests suspects, ForwardedRequest request, RunPermit permit) {
    return new RequestMonitor(suspects, request, permit, false);
  }

  /** For the canary of a suspected request, which runs on one server only. */
  static RequestMonitor ofCanary(
      SuspectRequests suspects, ForwardedRequest request, RunPermit permit) {
    return new RequestMonitor(suspects, request, permit, true);
  }

  /** For a request whose canary a server has just answered, so that it is not suspected. */
  static RequestMonitor ofAnswered(
      SuspectRequests suspects, ForwardedRequest request, RunPermit permit) {
    RequestMonitor monitor = new RequestMonitor(suspects, request, permit, false);
    monitor.onAnswered();
    return monitor;
  }

  /**
   * Whether an attempt may be sent. To be called right before each one, since the request may have
   * become suspected, its API key may have been revoked, or the router's view may have become too
   * old while it waited.
   */
  boolean mayRun() {
    return permit.isValid() && !isSuspected();
  }

  /**
   * Whether only the suspicion keeps the request from running. An answer to any of its parts
   * removes the suspicion.
   */
  boolean mayBeCleared() {
    return permit.isValid() && isSuspected();
  }

  /**
   * Whether the request might crash the next server that it is sent to. A canary is held back only
   * if its request is quarantined.
   */
  boolean isSuspected() {
    if (answered || suspects.isEmpty()) {
      return false;
    }
    Standing standing = suspects.standing(key());
    return canary ? standing == Standing.QUARANTINED : standing != Standing.FREE;
  }

  /** Whether an answer has shown that a server survives the request. */
  boolean isAnswered() {
    return answered;
  }

  /**
   * Called when a server has answered otherwise than with a server error: the request does not
   * crash servers.
   */
  void onAnswered() {
    answered = true;
    if (!suspects.isEmpty()) {
      suspects.onAnswered(key());
    }
  }

  /**
   * Called when a connection broke while the request was open there: it may have crashed the
   * server.
   */
  void onConnectionBroken(String server, long sentNanos) {
    if (!answered) {
      suspects.onServerCrashed(key(), server, sentNanos, canary);
    }
  }

  /**
   * Called when the router stops waiting for an attempt: nothing shows yet whether its server has
   * survived the request.
   */
  void onAttemptAbandoned(String server, long sentNanos) {
    if (!answered) {
      suspects.onAttemptAbandoned(key(), server, sentNanos, canary);
    }
  }

  /**
   * Key that identifies resubmissions of the request. Computed on first use, since few requests
   * need it.
   */
  RequestKey key() {
    if (key.isEmpty()) {
      key = Optional.of(keyOf(request));
    }
    return key.get();
  }

  static RequestKey keyOf(ForwardedRequest request) {
    return RequestKey.of(
        request.method(),
        request.host(),
        request.target(),
        request.caller().tenant(),
        request.body().bytes());
  }
}

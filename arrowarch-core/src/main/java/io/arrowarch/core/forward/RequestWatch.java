package io.arrowarch.core.forward;

import io.arrowarch.core.suspect.RequestKey;
import io.arrowarch.core.suspect.Standing;
import io.arrowarch.core.suspect.SuspectRequests;
import java.util.Optional;

/**
 * Whether attempts of one request may still be sent, and what the ends of its attempts say about
 * the request itself.
 */
final class RequestWatch {
  private final SuspectRequests suspects;
  private final ForwardedRequest request;
  private final RunPermit permit;
  private final boolean canary;
  private Optional<RequestKey> key = Optional.empty();
  private boolean answered;

  private RequestWatch(
      SuspectRequests suspects, ForwardedRequest request, RunPermit permit, boolean canary) {
    this.suspects = suspects;
    this.request = request;
    this.permit = permit;
    this.canary = canary;
  }

  /** Of a request that runs as usual. */
  static RequestWatch of(SuspectRequests suspects, ForwardedRequest request, RunPermit permit) {
    return new RequestWatch(suspects, request, permit, false);
  }

  /** Of a request that is tried on one server, since it may end it. */
  static RequestWatch ofCanary(
      SuspectRequests suspects, ForwardedRequest request, RunPermit permit) {
    return new RequestWatch(suspects, request, permit, true);
  }

  /** Of a request that a server has just run to an answer. */
  static RequestWatch ofAnswered(
      SuspectRequests suspects, ForwardedRequest request, RunPermit permit) {
    RequestWatch watch = new RequestWatch(suspects, request, permit, false);
    watch.onAnswered();
    return watch;
  }

  /** Asked at the moment of sending: knowledge grows while a request waits. */
  boolean mayRun() {
    return permit.holds() && !isSuspected();
  }

  /** Whether only the request itself is in the way, which an answer of any part would change. */
  boolean mayBeCleared() {
    return permit.holds() && isSuspected();
  }

  /** Whether it may end the server that it is sent to next. */
  boolean isSuspected() {
    if (answered || suspects.isEmpty()) {
      return false;
    }
    Standing standing = suspects.standing(key());
    return canary ? standing == Standing.QUARANTINED : standing != Standing.FREE;
  }

  /** Whether a server has run it to an answer. */
  boolean isAnswered() {
    return answered;
  }

  /** A server has run it to an answer, good or not: it is not what ends servers. */
  void onAnswered() {
    answered = true;
    if (!suspects.isEmpty()) {
      suspects.onAnswered(key());
    }
  }

  /** A connection broke while the request was open there: the server may have ended under it. */
  void onConnectionBroken(String server) {
    if (!answered) {
      suspects.onServerEnded(key(), server, canary);
    }
  }

  /** By what it is known again; hashed when it is first needed, which is for hardly any request. */
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

package io.arrowarch.core.forward;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;

/**
 * A caller's request, forwarded unchanged.
 *
 * @param id the id that the caller gave the request
 * @param timeLeft how long the caller will wait, counted from receipt
 * @param host value of the Host header
 * @param target path and query, byte for byte
 * @param caller sender of the request; its API key is not among the headers
 * @param headers headers that are forwarded
 * @param unread upper bound of the time for which it waited in a socket of this router before it
 *     was received
 */
public record ForwardedRequest(
    String id,
    Optional<Duration> timeLeft,
    String method,
    String host,
    String target,
    Caller caller,
    ImmutableList<HeaderField> headers,
    Payload body,
    Duration unread) {
  public ForwardedRequest {
    requireNonNull(id, "id is null");
    requireNonNull(timeLeft, "timeLeft is null");
    requireNonNull(method, "method is null");
    requireNonNull(host, "host is null");
    requireNonNull(target, "target is null");
    requireNonNull(caller, "caller is null");
    requireNonNull(headers, "headers is null");
    requireNonNull(body, "body is null");
    requireNonNull(unread, "unread is null");
  }

  /** Creates a request that was received as soon as it arrived. */
  public ForwardedRequest(
      String id,
      Optional<Duration> timeLeft,
      String method,
      String host,
      String target,
      Caller caller,
      ImmutableList<HeaderField> headers,
      Payload body) {
    this(id, timeLeft, method, host, target, caller, headers, body, Duration.ZERO);
  }

  /** Returns a copy with the time that the caller has waited deducted from its time left. */
  ForwardedRequest afterWaiting(Duration waited) {
    return new ForwardedRequest(
        id,
        timeLeft.map(left -> left.minus(waited)),
        method,
        host,
        target,
        caller,
        headers,
        body,
        unread);
  }

  /** Returns a copy marked as the first request on its connection. */
  public ForwardedRequest onNewConnection() {
    return new ForwardedRequest(
        id, timeLeft, method, host, target, caller.onNewConnection(), headers, body, unread);
  }

  /** Returns a copy with the longest time for which it may have waited in its socket. */
  public ForwardedRequest withUnread(Duration longest) {
    return new ForwardedRequest(id, timeLeft, method, host, target, caller, headers, body, longest);
  }

  /** Returns a copy with a body. */
  public ForwardedRequest withBody(Payload whole) {
    return new ForwardedRequest(id, timeLeft, method, host, target, caller, headers, whole, unread);
  }

  /** Returns a copy with a tenant, or with none. */
  ForwardedRequest withTenant(Optional<String> tenant) {
    return new ForwardedRequest(
        id, timeLeft, method, host, target, caller.withTenant(tenant), headers, body, unread);
  }
}

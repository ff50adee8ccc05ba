package io.arrowarch.core.forward;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;

/**
 * A caller's request, passed on as it came.
 *
 * @param id the caller's own id of this request
 * @param timeLeft how long the caller will wait, from receipt
 * @param host value of the Host header
 * @param target path and query, byte for byte
 * @param caller who sent it; its key is not among the headers
 * @param headers those that travel along
 */
public record ForwardedRequest(
    String id,
    Optional<Duration> timeLeft,
    String method,
    String host,
    String target,
    Caller caller,
    ImmutableList<HeaderField> headers,
    Payload body) {
  public ForwardedRequest {
    requireNonNull(id, "id is null");
    requireNonNull(timeLeft, "timeLeft is null");
    requireNonNull(method, "method is null");
    requireNonNull(host, "host is null");
    requireNonNull(target, "target is null");
    requireNonNull(caller, "caller is null");
    requireNonNull(headers, "headers is null");
    requireNonNull(body, "body is null");
  }

  /** The same request when its caller has waited for a while. */
  ForwardedRequest after(Duration waited) {
    return new ForwardedRequest(
        id, timeLeft.map(left -> left.minus(waited)), method, host, target, caller, headers, body);
  }

  /** The same request as the first on its connection. */
  public ForwardedRequest onNewConnection() {
    return new ForwardedRequest(
        id, timeLeft, method, host, target, caller.onNewConnection(), headers, body);
  }

  /** The same request of a tenant, or of none. */
  ForwardedRequest of(Optional<String> tenant) {
    return new ForwardedRequest(
        id, timeLeft, method, host, target, caller.of(tenant), headers, body);
  }
}

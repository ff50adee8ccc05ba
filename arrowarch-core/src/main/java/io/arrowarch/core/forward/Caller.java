package io.arrowarch.core.forward;

import static java.util.Objects.requireNonNull;

import io.arrowarch.core.tenant.Credential;
import java.util.Optional;

/**
 * The sender of a request, as far as it is known.
 *
 * @param credential credential of the API key sent with the request
 * @param tenant tenant that the key belongs to, once a router has looked it up; servers are told
 *     this name
 * @param hasJustConnected whether the connection was opened for this request, so that the caller
 *     had already waited one more round trip when the request arrived
 */
public record Caller(
    Optional<Credential> credential, Optional<String> tenant, boolean hasJustConnected) {
  /** A caller without an API key. */
  public static final Caller ANONYMOUS = new Caller(Optional.empty(), Optional.empty(), false);

  public Caller {
    requireNonNull(credential, "credential is null");
    requireNonNull(tenant, "tenant is null");
  }

  /** A caller whose API key, if any, has not been looked up. */
  public static Caller withCredential(Optional<Credential> credential) {
    return new Caller(credential, Optional.empty(), false);
  }

  /** Returns a copy with the tenant that the API key belongs to, or with none. */
  Caller withTenant(Optional<String> known) {
    return new Caller(credential, known, hasJustConnected);
  }

  Caller onNewConnection() {
    return new Caller(credential, tenant, true);
  }
}

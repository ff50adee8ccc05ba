package io.arrowarch.core.forward;

import static java.util.Objects.requireNonNull;

import io.arrowarch.core.tenant.Credential;
import java.util.Optional;

/**
 * Who sent a request, as far as it says or is known.
 *
 * @param credential of the key that came with it
 * @param tenant whose key it is, once a router has looked it up; this is what servers are told
 * @param hasJustConnected whether its connection was made for this request, so that it had waited
 *     for one way more there and back when the request came
 */
public record Caller(
    Optional<Credential> credential, Optional<String> tenant, boolean hasJustConnected) {
  /** Somebody without a key. */
  public static final Caller ANONYMOUS = new Caller(Optional.empty(), Optional.empty(), false);

  public Caller {
    requireNonNull(credential, "credential is null");
    requireNonNull(tenant, "tenant is null");
  }

  /** Somebody with a key that has not been looked up. */
  public static Caller with(Optional<Credential> credential) {
    return new Caller(credential, Optional.empty(), false);
  }

  /** The same caller, known to be of a tenant or of none. */
  Caller of(Optional<String> known) {
    return new Caller(credential, known, hasJustConnected);
  }

  Caller onNewConnection() {
    return new Caller(credential, tenant, true);
  }
}

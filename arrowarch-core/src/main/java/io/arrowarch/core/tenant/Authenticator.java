package io.arrowarch.core.tenant;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Identifies callers by their API keys, as far as this router's view of the tenants is recent
 * enough. If the view may be out of date, a known key is not accepted where revocations are strict,
 * since it may have been revoked. An unknown key may be new, so the caller is told that the key
 * could not be confirmed.
 */
public final class Authenticator {
  private final RevocationRules rules;
  private final Supplier<Optional<Duration>> viewAge;

  /** The result of identifying a caller. */
  public sealed interface Identity {
    /**
     * The caller may be served.
     *
     * @param tenant the tenant that the caller belongs to; empty on a public route without an
     *     accepted key, and if the configuration has no tenants
     */
    record Known(Optional<Tenant> tenant) implements Identity {}

    /** The caller's key belongs to no tenant, or it sent no key and needs one. */
    record Unknown(String reason) implements Identity {}

    /** This router's view is too old to identify the caller. */
    record NotConfirmed(String reason) implements Identity {}
  }

  /**
   * Creates an authenticator.
   *
   * @param viewAge time since the view of the tenants was last known to be complete; empty if it
   *     never was
   */
  public Authenticator(RevocationRules rules, Supplier<Optional<Duration>> viewAge) {
    this.rules = rules;
    this.viewAge = viewAge;
  }

  /**
   * Identifies a caller.
   *
   * @param isPublic whether the caller's route needs no key
   */
  public Identity identify(Tenants tenants, boolean isPublic, Optional<Credential> credential) {
    if (tenants.isEmpty()) {
      return new Identity.Known(Optional.empty());
    }
    Optional<Tenant> owner = credential.flatMap(tenants::ownerOf);
    if (owner.isPresent() && mayTrustKeys()) {
      return new Identity.Known(owner);
    }
    if (isPublic) {
      return new Identity.Known(Optional.empty());
    }
    if (owner.isPresent()) {
      return new Identity.NotConfirmed("the key may have been revoked");
    }
    if (!isFresh()) {
      return new Identity.NotConfirmed("the key may be newer than this router's view");
    }
    return new Identity.Unknown(credential.isPresent() ? "nobody has this key" : "a key is needed");
  }

  /**
   * Whether an attempt may be sent now with a key that was accepted when its request was admitted.
   * Where revocations are strict, the key must still belong to the tenant by a recent view.
   */
  public boolean mayRun(Tenants tenants, String tenant, Credential credential) {
    if (!rules.strict()) {
      return true;
    }
    boolean held =
        tenants.ownerOf(credential).filter(owner -> owner.name().equals(tenant)).isPresent();
    return held && isFresh();
  }

  /** Whether the view is recent enough to tell that a key belongs to no tenant. */
  private boolean isFresh() {
    return viewAge.get().filter(rules::isFresh).isPresent();
  }

  /** Whether requests with API keys are refused because the view is too old. */
  public boolean refusesApiKeys(Tenants tenants) {
    return !tenants.isEmpty() && !mayTrustKeys();
  }

  private boolean mayTrustKeys() {
    return !rules.strict() || isFresh();
  }
}

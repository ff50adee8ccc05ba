package io.arrowarch.core.tenant;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Tells who a caller is by its key, as far as this router's view of the tenants can be trusted at
 * the moment. A view that may be behind neither lets a key in that may have been taken away nor
 * says of a key that nobody has it, since it may be new.
 */
public final class Authenticator {
  private final RevocationRules rules;
  private final Supplier<Optional<Duration>> viewAge;

  /** What is known of a caller. */
  public sealed interface Identity {
    /**
     * It may be served.
     *
     * @param tenant whose requests these are; empty on a public route without a known key, and
     *     where there are no tenants
     */
    record Known(Optional<Tenant> tenant) implements Identity {}

    /** Nobody has its key, or it has none and needs one. */
    record Unknown(String reason) implements Identity {}

    /** This router's view is too old to tell. */
    record NotConfirmed(String reason) implements Identity {}
  }

  /**
   * Creates an authenticator.
   *
   * @param viewAge how long ago the view of the tenants was last known to be complete; empty: never
   */
  public Authenticator(RevocationRules rules, Supplier<Optional<Duration>> viewAge) {
    this.rules = rules;
    this.viewAge = viewAge;
  }

  /**
   * Identifies a caller.
   *
   * @param isPublic whether its route needs no key
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
      return new Identity.NotConfirmed("the key may have been taken away");
    }
    if (!isFresh()) {
      return new Identity.NotConfirmed("the key may be newer than what this router knows");
    }
    return new Identity.Unknown(credential.isPresent() ? "nobody has this key" : "a key is needed");
  }

  /**
   * Whether an attempt may be sent now under a key that was known when its request was admitted.
   * Where withdrawals are strict it must still be its tenant's, by a fresh view.
   */
  public boolean mayRun(Tenants tenants, String tenant, Credential credential) {
    if (!rules.strict()) {
      return true;
    }
    boolean held =
        tenants.ownerOf(credential).filter(owner -> owner.name().equals(tenant)).isPresent();
    return held && isFresh();
  }

  /** Whether the view is young enough to tell that nobody has a key. */
  private boolean isFresh() {
    return viewAge.get().filter(rules::isFresh).isPresent();
  }

  /** Whether requests with keys are refused because the view is too old. */
  public boolean isClosed(Tenants tenants) {
    return !tenants.isEmpty() && !mayTrustKeys();
  }

  private boolean mayTrustKeys() {
    return !rules.strict() || isFresh();
  }
}

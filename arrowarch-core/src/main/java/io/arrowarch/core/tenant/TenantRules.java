package io.arrowarch.core.tenant;

import static java.util.Objects.requireNonNull;

/**
 * Rules that apply to the requests of all tenants.
 *
 * @param revocation how soon the revocation of a key takes effect
 * @param limits by how much limits may be exceeded
 */
public record TenantRules(RevocationRules revocation, LimitRules limits) {
  public TenantRules {
    requireNonNull(revocation, "revocation is null");
    requireNonNull(limits, "limits is null");
  }
}

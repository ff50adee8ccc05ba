package io.arrowarch.core.tenant;

import static java.util.Objects.requireNonNull;

/**
 * What binds requests of tenants, for all of them alike.
 *
 * @param revocation within what time a change of keys binds
 * @param limits by how much limits may be overshot
 */
public record TenantRules(RevocationRules revocation, LimitRules limits) {
  public TenantRules {
    requireNonNull(revocation, "revocation is null");
    requireNonNull(limits, "limits is null");
  }
}

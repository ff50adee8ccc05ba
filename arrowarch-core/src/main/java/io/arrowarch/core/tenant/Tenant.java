package io.arrowarch.core.tenant;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/**
 * Somebody whose requests are told apart by their keys.
 *
 * @param credentials of its keys
 * @param priority takes the place of that of its requests' routes; 0 is the most urgent
 * @param limit over all routers; empty where there is none
 */
public record Tenant(
    String name,
    ImmutableSet<Credential> credentials,
    Optional<Integer> priority,
    Optional<TenantLimit> limit) {
  public Tenant {
    requireNonNull(name, "name is null");
    requireNonNull(credentials, "credentials is null");
    requireNonNull(priority, "priority is null");
    requireNonNull(limit, "limit is null");
  }
}

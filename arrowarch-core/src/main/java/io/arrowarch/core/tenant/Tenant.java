package io.arrowarch.core.tenant;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/**
 * A client of the fleet, whose requests are recognized by its API keys.
 *
 * @param credentials hashes of its keys
 * @param priority replaces the priority of the routes of its requests; 0 is the most urgent
 * @param limit rate limit over all routers; empty if the tenant has none
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

package io.arrowarch.core.tenant;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The tenants of one configuration version. Immutable. */
public final class Tenants {
  /** A configuration without tenants, in which no request needs a key. */
  public static final Tenants NONE = new Tenants(ImmutableList.of());

  private final ImmutableList<Tenant> all;
  private final ImmutableMap<Credential, Tenant> byCredential;
  private final ImmutableMap<String, Tenant> byName;

  /**
   * Creates the tenants of a version. A key or a name that two tenants share belongs to the first
   * of them.
   */
  public Tenants(ImmutableList<Tenant> all) {
    this.all = all;
    Map<Credential, Tenant> owners = new HashMap<>();
    Map<String, Tenant> names = new HashMap<>();
    for (Tenant tenant : all) {
      names.putIfAbsent(tenant.name(), tenant);
      tenant.credentials().forEach(credential -> owners.putIfAbsent(credential, tenant));
    }
    this.byCredential = ImmutableMap.copyOf(owners);
    this.byName = ImmutableMap.copyOf(names);
  }

  /** Whether there are no tenants, so that no request needs a key. */
  public boolean isEmpty() {
    return all.isEmpty();
  }

  /** Returns all tenants, in the order of the configuration document. */
  public ImmutableList<Tenant> all() {
    return all;
  }

  /** Returns the tenant that a key belongs to; empty if there is none. */
  public Optional<Tenant> ownerOf(Credential credential) {
    return Optional.ofNullable(byCredential.get(credential));
  }

  /** Returns the tenant with a name; empty if there is none. */
  public Optional<Tenant> find(String name) {
    return Optional.ofNullable(byName.get(name));
  }
}

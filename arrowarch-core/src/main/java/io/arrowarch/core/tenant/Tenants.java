package io.arrowarch.core.tenant;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The tenants of one version of the configuration, immutable. */
public final class Tenants {
  /** Of a configuration without tenants, in which no request needs a key. */
  public static final Tenants NONE = new Tenants(ImmutableList.of());

  private final ImmutableList<Tenant> all;
  private final ImmutableMap<Credential, Tenant> byCredential;
  private final ImmutableMap<String, Tenant> byName;

  /**
   * Creates the tenants of a version. A key of two tenants belongs to the first; so does a name
   * that is given twice.
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

  /** Whether there is none, so that no request needs a key. */
  public boolean isEmpty() {
    return all.isEmpty();
  }

  /** All of them, in the order of the document. */
  public ImmutableList<Tenant> all() {
    return all;
  }

  /** Whose key it is, if anybody's. */
  public Optional<Tenant> ownerOf(Credential credential) {
    return Optional.ofNullable(byCredential.get(credential));
  }

  /** The tenant of a name, if there is one. */
  public Optional<Tenant> find(String name) {
    return Optional.ofNullable(byName.get(name));
  }
}

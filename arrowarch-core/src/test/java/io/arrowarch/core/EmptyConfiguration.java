package io.arrowarch.core;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.feed.FeedEntry;
import io.arrowarch.core.route.CallerLimits;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.tenant.Tenants;

/** A configuration without routes, for tests in which only its version matters. */
public final class EmptyConfiguration {
  private EmptyConfiguration() {}

  /** The configuration of this version, as an entry of the store. */
  public static FeedEntry ofVersion(long version) {
    return new FeedEntry.Configuration(
        new RoutingConfiguration(
            version,
            ImmutableList.of(),
            ImmutableMap.of(),
            CallerLimits.DEFAULT,
            new Tenants(ImmutableList.of())));
  }
}

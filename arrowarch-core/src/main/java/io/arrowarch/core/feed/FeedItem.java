package io.arrowarch.core.feed;

import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.store.StoreRevision;
import java.util.Optional;

/**
 * A key of the store as of a revision.
 *
 * @param entry empty if that revision deleted the key
 * @param value the text as the store returned it, to pass on to other routers; empty if that
 *     revision deleted the key
 */
public record FeedItem(
    String key, StoreRevision revision, Optional<FeedEntry> entry, String value) {
  /** Returns the same content with another revision. */
  FeedItem withRevision(StoreRevision other) {
    return new FeedItem(key, other, entry, value);
  }

  /** The configuration, if this is a valid one. */
  Optional<RoutingConfiguration> configuration() {
    return entry
        .filter(FeedEntry.Configuration.class::isInstance)
        .map(held -> ((FeedEntry.Configuration) held).configuration());
  }

  /**
   * Whether this replaces the known item of the same key. Configurations are ordered by version
   * first and by revision second: their version never goes back, even if the store is restored from
   * an older backup. A known configuration is replaced by nothing but a configuration: a deletion
   * or a malformed entry never supersedes it.
   */
  boolean supersedes(FeedItem known) {
    if (known.configuration().isEmpty()) {
      return revision.isAfter(known.revision);
    }
    long knownVersion = known.configuration().get().version();
    return configuration()
        .map(RoutingConfiguration::version)
        .filter(
            version ->
                version > knownVersion
                    || (version == knownVersion && revision.isAfter(known.revision)))
        .isPresent();
  }
}

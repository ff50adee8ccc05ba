package io.arrowarch.core.feed;

import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.store.StoreRevision;
import java.util.Optional;

/**
 * One key of the store as of one revision.
 *
 * @param entry empty when the key was deleted by that revision
 * @param value as the store wrote it, to pass on to other routers; empty when the key was deleted
 */
public record FeedItem(
    String key, StoreRevision revision, Optional<FeedEntry> entry, String value) {
  /** The same content as of another revision. */
  FeedItem at(StoreRevision other) {
    return new FeedItem(key, other, entry, value);
  }

  /** The configuration that it holds, if it is one that can be read. */
  Optional<RoutingConfiguration> configuration() {
    return entry
        .filter(FeedEntry.Configuration.class::isInstance)
        .map(held -> ((FeedEntry.Configuration) held).configuration());
  }

  /**
   * Whether this replaces what is known of the key. Versions of the configuration rise though the
   * store goes back, so that their order comes before that of revisions.
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

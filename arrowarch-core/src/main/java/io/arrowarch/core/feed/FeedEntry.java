package io.arrowarch.core.feed;

import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.server.ServerEntry;

/** The content of an entry of the platform's store. */
public sealed interface FeedEntry {
  /** The routing configuration. */
  record Configuration(RoutingConfiguration configuration) implements FeedEntry {}

  /** A server's entry in the directory. */
  record Server(ServerEntry entry) implements FeedEntry {}

  /** No requests may be sent to the servers of a zone as long as the entry exists. */
  record Evacuation(String zone) implements FeedEntry {}

  /** An entry that routers don't use. */
  record Unknown() implements FeedEntry {}

  /** The kind of entry that a key requires. */
  enum Kind {
    CONFIGURATION,
    SERVER
  }

  /**
   * An entry that is not valid for its key, and is ignored.
   *
   * @param fault one sentence for operators; quotes nothing of what was written
   */
  record Malformed(Kind kind, String fault) implements FeedEntry {}
}

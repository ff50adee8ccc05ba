package io.arrowarch.core.feed;

import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.server.ServerEntry;

/** What a record of the platform's store says. */
public sealed interface FeedEntry {
  /** The newest configuration. */
  record Configuration(RoutingConfiguration configuration) implements FeedEntry {}

  /** A server's entry in the directory. */
  record Server(ServerEntry entry) implements FeedEntry {}

  /** The servers of a zone are to get nothing for as long as the entry is there. */
  record Evacuation(String zone) implements FeedEntry {}

  /** Of no use to a router. */
  record Unknown() implements FeedEntry {}

  /** What the writer of a key would have to write. */
  enum Kind {
    CONFIGURATION,
    SERVER
  }

  /**
   * Is not what its key is for: it says nothing.
   *
   * @param fault one sentence for operators, without anything that was written
   */
  record Malformed(Kind kind, String fault) implements FeedEntry {}
}

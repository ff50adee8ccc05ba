package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;

/** The answer to a forwarded request: a success, or an error that a server itself returned. */
public sealed interface ForwardedAnswer {
  /** The answer of one server, forwarded unchanged. */
  record FromServer(ServerReply reply) implements ForwardedAnswer {}

  /**
   * The merged answer of a search.
   *
   * @param signatures the servers' signatures of the answers that were merged
   * @param missingParts number of shards that are not included
   * @param records the greatest records, in the descending order of {@link RecordMerger}
   */
  record Merged(ImmutableList<String> signatures, int missingParts, Payload records)
      implements ForwardedAnswer {}
}

package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;

/** A success, or a failure that is a server's own. */
public sealed interface ForwardedAnswer {
  /** One server's answer, passed on as it came. */
  record FromServer(ServerReply reply) implements ForwardedAnswer {}

  /**
   * The merged answer of a search.
   *
   * @param signatures of the parts that it is drawn from
   * @param missingParts shards that are not in it
   * @param records the greatest records, greatest first
   */
  record Merged(ImmutableList<String> signatures, int missingParts, Payload records)
      implements ForwardedAnswer {}
}

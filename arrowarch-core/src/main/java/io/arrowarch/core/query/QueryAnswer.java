package io.arrowarch.core.query;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.arrowarch.core.wire.SearchHit;
import java.util.Optional;

/**
 * A successful answer, full or partial. All its results come from one layout and one index
 * snapshot.
 *
 * @param layout layout id
 * @param snapshot the index snapshot; empty for posts, which read no index
 * @param hits merged search results, best first
 * @param document the fetched document or the receipt of a post
 */
public record QueryAnswer(
    String requestId,
    String kind,
    String layout,
    Optional<Long> snapshot,
    Coverage coverage,
    ImmutableList<SearchHit> hits,
    Optional<JsonNode> document) {

  /** The same answer with the request id of a duplicate request. */
  public QueryAnswer withRequestId(String resendId) {
    return new QueryAnswer(resendId, kind, layout, snapshot, coverage, hits, document);
  }
}

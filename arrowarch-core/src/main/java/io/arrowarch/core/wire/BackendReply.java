package io.arrowarch.core.wire;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * A back end's reply to one attempt.
 *
 * @param attempt the id of the attempt that it answers
 * @param snapshot the index snapshot that the result is drawn from
 * @param reason why the request was not run or failed; empty on success
 * @param hits search results; empty for other operations
 * @param document the fetched document, or the receipt of a post
 * @param report the state of the back end
 */
public record BackendReply(
    String attempt,
    String layout,
    String shard,
    Optional<Long> snapshot,
    Outcome outcome,
    Optional<NotRunReason> reason,
    List<SearchHit> hits,
    Optional<JsonNode> document,
    BackendReport report) {
  public BackendReply {
    hits = hits == null ? ImmutableList.of() : ImmutableList.copyOf(hits);
  }

  /** What became of the attempt. */
  public enum Outcome {
    /** It ran and the result is in this reply. */
    @JsonProperty("ok")
    OK,
    /** The back end vouches that it did not run and never will. */
    @JsonProperty("not-run")
    NOT_RUN,
    /** It failed; it may have run. */
    @JsonProperty("failed")
    FAILED
  }

  /** Why a back end did not run an attempt. */
  public enum NotRunReason {
    /** The back end is leaving. */
    @JsonProperty("draining")
    DRAINING,
    /** Too much work is waiting. */
    @JsonProperty("shed")
    SHED,
    /** It does not hold the snapshot asked for. */
    @JsonProperty("snapshot-gone")
    SNAPSHOT_GONE,
    /** It does not hold the shard of this layout. */
    @JsonProperty("wrong-shard")
    WRONG_SHARD,
    /** The deadline passed, or the attempt was cancelled, before it got a slot. */
    @JsonProperty("abandoned")
    ABANDONED
  }
}

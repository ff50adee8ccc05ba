package io.arrowarch.core.wire;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * A back end's reply to one attempt.
 *
 * @param attempt id of the attempt that this reply answers
 * @param snapshot the index snapshot from which the result was read
 * @param reason why the attempt was not run; empty otherwise. If it is missing for an attempt that
 *     was not run, the router assumes {@link NotRunReason#SHED}
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

  /** How the attempt ended. */
  public enum Outcome {
    /** The attempt ran; the result is in this reply. */
    @JsonProperty("ok")
    OK,
    /** The back end guarantees that the attempt did not run and never will. */
    @JsonProperty("not-run")
    NOT_RUN,
    /** The attempt failed; it may have run. */
    @JsonProperty("failed")
    FAILED
  }

  /** Why a back end did not run an attempt. */
  public enum NotRunReason {
    /** The back end is leaving. */
    @JsonProperty("draining")
    DRAINING,
    /** Too many requests are waiting. */
    @JsonProperty("shed")
    SHED,
    /** The back end does not hold the requested snapshot. */
    @JsonProperty("snapshot-gone")
    SNAPSHOT_GONE,
    /** The back end does not hold this shard of the layout. */
    @JsonProperty("wrong-shard")
    WRONG_SHARD,
    /** The deadline passed, or the attempt was cancelled, before it got a slot. */
    @JsonProperty("abandoned")
    ABANDONED
  }
}

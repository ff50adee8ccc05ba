package io.arrowarch.core.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How a query is spread over shards. */
public enum Operation {
  /** Sent to every shard and merged by score. */
  @JsonProperty("search")
  SEARCH,
  /** Reads one document from the shard of its key. */
  @JsonProperty("fetch")
  FETCH,
  /** Writes through the shard of its key. */
  @JsonProperty("post")
  POST;

  /** Whether a query of this kind goes to one shard, named by its key. */
  public boolean isSingleShard() {
    return this != SEARCH;
  }
}

package io.arrowarch.core.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a query does and to which shards it is sent. */
public enum Operation {
  /** Searches every shard; hits are merged by score. */
  @JsonProperty("search")
  SEARCH,
  /** Reads one document from the shard of its key. */
  @JsonProperty("fetch")
  FETCH,
  /** Writes to the shard of its key. */
  @JsonProperty("post")
  POST;

  /** Whether a query is sent only to the shard of its key. */
  public boolean isSingleShard() {
    return this != SEARCH;
  }
}

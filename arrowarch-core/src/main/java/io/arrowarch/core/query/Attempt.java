package io.arrowarch.core.query;

import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.wire.BackendRequest;

/**
 * One request for one shard of a query, sent to one back end.
 *
 * @param deadlineNanos deadline of the query, on the router's monotonic clock
 */
public record Attempt(Backend backend, BackendRequest request, long deadlineNanos) {
  /** The id, unique across all routers and their incarnations. */
  public String id() {
    return request.attempt();
  }
}

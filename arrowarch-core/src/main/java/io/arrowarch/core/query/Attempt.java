package io.arrowarch.core.query;

import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.wire.BackendRequest;

/**
 * One sending of one shard's part of a query to one back end.
 *
 * @param deadlineNanos when the query's deadline passes, on the router's monotonic clock
 */
public record Attempt(Backend backend, BackendRequest request, long deadlineNanos) {
  /** The id, unique over all routers and their incarnations. */
  public String id() {
    return request.attempt();
  }
}

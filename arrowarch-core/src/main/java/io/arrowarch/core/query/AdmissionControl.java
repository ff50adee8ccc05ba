package io.arrowarch.core.query;

import io.arrowarch.core.replica.ReplicaState;

/** Refuses queries that would wait too long for room at back ends, before any attempt is sent. */
final class AdmissionControl {
  /** The largest part of the time left that a query may be expected to wait in queues. */
  private static final double MAXIMUM_WAIT_FRACTION = 0.4;

  private static final double TYPICAL_QUANTILE = 0.5;

  private final AttemptDispatcher dispatcher;
  private final int maximumQueries;

  AdmissionControl(AttemptDispatcher dispatcher, int maximumQueries) {
    this.dispatcher = dispatcher;
    this.maximumQueries = maximumQueries;
  }

  /**
   * Whether a prepared query may start. The expected wait of a shard is that at its least busy
   * replica: the length of the queue, divided by the concurrency limit, times the median latency.
   */
  boolean admits(QueryExecution execution, long nowNanos) {
    if (dispatcher.executions().size() >= maximumQueries) {
      return false;
    }
    long left = execution.deadlineNanos() - nowNanos;
    long serviceNanos =
        execution.kindState().latencies().quantileNanos(TYPICAL_QUANTILE, left / 10);
    double longestWait = 0;
    for (ShardProgress progress : execution.plan().shards()) {
      longestWait = Math.max(longestWait, shortestWait(progress, serviceNanos));
    }
    return longestWait <= left * MAXIMUM_WAIT_FRACTION;
  }

  private double shortestWait(ShardProgress progress, long serviceNanos) {
    double shortest = progress.candidates().isEmpty() ? 0 : Double.MAX_VALUE;
    for (ReplicaState candidate : progress.candidates()) {
      int waiting = dispatcher.waitingLength(candidate.backend().id());
      shortest = Math.min(shortest, (double) waiting / candidate.limit() * serviceNanos);
    }
    return shortest;
  }
}

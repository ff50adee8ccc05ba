package io.arrowarch.core.query;

import io.arrowarch.core.replica.ReplicaState;

/**
 * Refuses queries before any attempt is sent: those that would wait too long for room at back ends,
 * and those that arrive while too many queries are in progress.
 */
final class AdmissionControl {
  /** Fraction of its remaining time that a query may wait in queues, by the estimate. */
  private static final double MAXIMUM_WAIT_FRACTION = 0.4;

  private static final double MEDIAN = 0.5;

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
    long remainingNanos = execution.deadlineNanos() - nowNanos;
    long serviceNanos =
        execution.kindState().latencies().quantileNanos(MEDIAN, remainingNanos / 10);
    double longestWaitNanos = 0;
    for (ShardProgress progress : execution.plan().shards()) {
      longestWaitNanos = Math.max(longestWaitNanos, shortestWaitNanos(progress, serviceNanos));
    }
    return longestWaitNanos <= remainingNanos * MAXIMUM_WAIT_FRACTION;
  }

  private double shortestWaitNanos(ShardProgress progress, long serviceNanos) {
    double shortestNanos = progress.candidates().isEmpty() ? 0 : Double.MAX_VALUE;
    for (ReplicaState candidate : progress.candidates()) {
      int waiting = dispatcher.queueLength(candidate.backend().id());
      shortestNanos = Math.min(shortestNanos, (double) waiting / candidate.limit() * serviceNanos);
    }
    return shortestNanos;
  }
}

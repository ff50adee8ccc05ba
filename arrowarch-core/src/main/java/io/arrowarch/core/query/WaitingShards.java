package io.arrowarch.core.query;

import io.arrowarch.core.replica.ReplicaState;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Shards that wait for room at any of their replicas, in one FIFO queue for each replica. */
final class WaitingShards {
  private final Map<String, ArrayDeque<ShardProgress>> queues = new HashMap<>();

  /**
   * Queues a shard until one of its replicas has room. Only eligible replicas may be given: at
   * another one, the caller would poll the shard and queue it again without end.
   */
  void add(ShardProgress progress, List<ReplicaState> eligible, AttemptPurpose purpose) {
    progress.onQueued(purpose);
    for (ReplicaState candidate : eligible) {
      queueOf(candidate.backend().id()).add(progress);
    }
  }

  /** Removes the shard that has waited longest for this back end. */
  Optional<ShardProgress> poll(String backendId) {
    ArrayDeque<ShardProgress> queue = queueOf(backendId);
    while (!queue.isEmpty()) {
      ShardProgress progress = queue.poll();
      if (progress.isWaiting()) {
        return Optional.of(progress);
      }
    }
    return Optional.empty();
  }

  /** Length of the queue, including shards that no longer wait and have not been removed yet. */
  int length(String backendId) {
    return queueOf(backendId).size();
  }

  private ArrayDeque<ShardProgress> queueOf(String backendId) {
    return queues.computeIfAbsent(backendId, id -> new ArrayDeque<>());
  }
}

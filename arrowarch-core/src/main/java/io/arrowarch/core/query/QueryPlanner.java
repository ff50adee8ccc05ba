package io.arrowarch.core.query;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.arrowarch.core.replica.ReplicaState;
import io.arrowarch.core.replica.ReplicaTable;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.core.topology.Layout.Shard;
import io.arrowarch.core.topology.QueryKind;
import io.arrowarch.core.topology.Selection;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Creates the {@link QueryPlan} of a query: applies the selectors, looks up the usable replicas,
 * and chooses the snapshot.
 */
final class QueryPlanner {
  private static final int SECONDS_PER_MINUTE = 60;

  private final String zone;
  private final ReplicaTable replicas;
  private final Map<String, CachedSelection> selections = new HashMap<>();
  private Optional<Configuration> configuration = Optional.empty();

  /** A selection for one minute: the time windows of rules open and close on whole minutes. */
  private record CachedSelection(long epochMinute, Selection selection) {}

  QueryPlanner(String zone, ReplicaTable replicas) {
    this.zone = zone;
    this.replicas = replicas;
  }

  void reconfigure(Configuration updated) {
    configuration = Optional.of(updated);
    selections.clear();
  }

  Optional<Configuration> configuration() {
    return configuration;
  }

  /** The back ends that the rules of a kind select in this minute. */
  Selection select(QueryKind kind, Instant wallTime) {
    long epochMinute = Math.floorDiv(wallTime.getEpochSecond(), SECONDS_PER_MINUTE);
    CachedSelection cached = selections.get(kind.name());
    if (cached == null || cached.epochMinute() != epochMinute) {
      Selection selection = configuration.orElseThrow().select(kind, zone, wallTime);
      cached = new CachedSelection(epochMinute, selection);
      selections.put(kind.name(), cached);
    }
    return cached.selection();
  }

  /**
   * Plans or replans a query. A replan uses the kind and the selection with which the query was
   * admitted.
   */
  QueryPlan plan(QueryExecution execution, Selection selection, long nowNanos) {
    QueryKind kind = execution.kind();
    ImmutableListMultimap<String, ReplicaState> usable = usableReplicas(selection, nowNanos);
    Optional<Long> snapshot =
        kind.operation().isSingleShard()
            ? Optional.empty()
            : SnapshotChooser.choose(kind.layout(), usable);
    ImmutableList<ShardProgress> shards =
        askedShards(execution).stream()
            .map(shard -> progressOf(execution, shard, usable, snapshot))
            .collect(ImmutableList.toImmutableList());
    return new QueryPlan(snapshot, shards);
  }

  private ImmutableListMultimap<String, ReplicaState> usableReplicas(
      Selection selection, long nowNanos) {
    ImmutableListMultimap.Builder<String, ReplicaState> usable = ImmutableListMultimap.builder();
    for (String shard : selection.byShard().keySet()) {
      usable.putAll(shard, replicas.usable(selection.byShard().get(shard), nowNanos));
    }
    return usable.build();
  }

  private static ImmutableList<Shard> askedShards(QueryExecution execution) {
    QueryKind kind = execution.kind();
    if (!kind.operation().isSingleShard()) {
      return kind.layout().shards();
    }
    String key = execution.request().key().orElseThrow();
    return ImmutableList.of(kind.layout().shardOfKey(key));
  }

  /** The progress of a shard. A search goes only to replicas that hold its snapshot. */
  private static ShardProgress progressOf(
      QueryExecution execution,
      Shard shard,
      ImmutableListMultimap<String, ReplicaState> usable,
      Optional<Long> snapshot) {
    QueryKind kind = execution.kind();
    ImmutableList<ReplicaState> candidates = usable.get(shard.name());
    if (!kind.operation().isSingleShard()) {
      candidates =
          candidates.stream()
              .filter(replica -> holds(replica, kind, snapshot))
              .collect(ImmutableList.toImmutableList());
    }
    return new ShardProgress(execution, shard, candidates);
  }

  /**
   * Whether a replica holds the snapshot of a search. Without a snapshot no replica does, because
   * the shards of an unpinned search could answer from different snapshots.
   */
  private static boolean holds(ReplicaState replica, QueryKind kind, Optional<Long> snapshot) {
    return snapshot.isPresent() && SnapshotChooser.holds(replica, kind.layout(), snapshot.get());
  }
}

package io.arrowarch.core.query;

import com.google.common.collect.ListMultimap;
import io.arrowarch.core.replica.ReplicaState;
import io.arrowarch.core.topology.Layout;
import io.arrowarch.core.topology.Layout.Shard;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/** Chooses the index snapshot to which a query is pinned. */
final class SnapshotChooser {
  private SnapshotChooser() {}

  /**
   * The snapshot for which usable replicas cover the largest share of the data. Of several such
   * snapshots, the newest is chosen. Empty when no replica reports a snapshot.
   */
  static Optional<Long> choose(Layout layout, ListMultimap<String, ReplicaState> usable) {
    TreeSet<Long> reported = new TreeSet<>();
    for (ReplicaState replica : usable.values()) {
      reported.addAll(replica.snapshots(layout.id()));
    }
    Optional<Long> best = Optional.empty();
    double bestShare = 0;
    for (long snapshot : reported.descendingSet()) {
      double share = coveredShare(layout, usable, snapshot);
      if (share > bestShare) {
        best = Optional.of(snapshot);
        bestShare = share;
      }
    }
    return best;
  }

  /** Whether a replica reports that it can serve a snapshot. */
  static boolean holds(ReplicaState replica, Layout layout, long snapshot) {
    return replica.snapshots(layout.id()).contains(snapshot);
  }

  private static double coveredShare(
      Layout layout, ListMultimap<String, ReplicaState> usable, long snapshot) {
    double share = 0;
    for (Shard shard : layout.shards()) {
      List<ReplicaState> replicas = usable.get(shard.name());
      if (replicas.stream().anyMatch(replica -> holds(replica, layout, snapshot))) {
        share += shard.share();
      }
    }
    return share;
  }
}

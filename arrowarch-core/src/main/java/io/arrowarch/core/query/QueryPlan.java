package io.arrowarch.core.query;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.topology.Layout.Shard;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The snapshot to which a query is pinned, and the progress of its shards. Replanning creates a new
 * plan; nothing of the old one is kept.
 */
record QueryPlan(Optional<Long> snapshot, ImmutableList<ShardProgress> shards) {
  boolean isSettled() {
    return shards.stream().allMatch(ShardProgress::isSettled);
  }

  Coverage coverage() {
    return coverageIf(ShardProgress::isAnswered);
  }

  /** The coverage if every shard that is not lost answers. */
  Coverage bestCoverage() {
    return coverageIf(progress -> !progress.isLost());
  }

  private Coverage coverageIf(Predicate<ShardProgress> condition) {
    ImmutableList<Shard> asked =
        shards.stream().map(ShardProgress::shard).collect(ImmutableList.toImmutableList());
    ImmutableList<Shard> counted =
        shards.stream()
            .filter(condition)
            .map(ShardProgress::shard)
            .collect(ImmutableList.toImmutableList());
    return Coverage.of(asked, counted::contains);
  }
}

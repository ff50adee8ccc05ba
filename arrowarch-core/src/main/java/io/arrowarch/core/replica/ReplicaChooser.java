package io.arrowarch.core.replica;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses a replica for an attempt: the less loaded of two random ones (power of two choices), by
 * {@link ReplicaState#load}. Replicas with room in the router's own zone are preferred; if there
 * are none, all replicas with room are considered.
 */
public final class ReplicaChooser {
  private final String zone;
  private final RandomGenerator random;

  /** Creates a chooser for a router in this zone. */
  public ReplicaChooser(String zone, RandomGenerator random) {
    this.zone = zone;
    this.random = random;
  }

  /** A replica with room, or empty when none of the candidates has any. */
  public Optional<ReplicaState> choose(List<ReplicaState> candidates) {
    ImmutableList<ReplicaState> local = filter(candidates, this::isLocalWithRoom);
    if (!local.isEmpty()) {
      return Optional.of(lessLoadedOfTwo(local));
    }
    ImmutableList<ReplicaState> anywhere = filter(candidates, ReplicaState::hasRoom);
    return anywhere.isEmpty() ? Optional.empty() : Optional.of(lessLoadedOfTwo(anywhere));
  }

  private boolean isLocalWithRoom(ReplicaState replica) {
    return replica.backend().zone().equals(zone) && replica.hasRoom();
  }

  private ReplicaState lessLoadedOfTwo(ImmutableList<ReplicaState> candidates) {
    int size = candidates.size();
    if (size == 1) {
      return candidates.get(0);
    }
    int first = random.nextInt(size);
    int second = (first + 1 + random.nextInt(size - 1)) % size;
    ReplicaState one = candidates.get(first);
    ReplicaState other = candidates.get(second);
    return one.load() <= other.load() ? one : other;
  }

  private static ImmutableList<ReplicaState> filter(
      List<ReplicaState> candidates, Predicate<ReplicaState> condition) {
    return candidates.stream().filter(condition).collect(ImmutableList.toImmutableList());
  }
}

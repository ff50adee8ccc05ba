package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.arrowarch.core.peer.LiveRouter;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

/**
 * Splits the shards of wide searches into groups and ranks the routers that may gather a group.
 * Every router gets the same result. Groups follow the order of the route's shards. Routers with
 * the same number of cores are ranked by rendezvous hashing, so that a router that joins or leaves
 * does not change the order of the others.
 */
final class ShardGroups {
  private static final HashFunction HASH = Hashing.murmur3_128();

  private ShardGroups() {}

  /** Splits shards, in their order, into at most {@code groups} groups of even size. */
  static ImmutableList<ImmutableList<String>> split(ImmutableList<String> shards, int groups) {
    int size = (shards.size() + groups - 1) / groups;
    return Lists.partition(shards, size).stream()
        .map(ImmutableList::copyOf)
        .collect(ImmutableList.toImmutableList());
  }

  /** Ranks the routers for a group, the most suitable one first: by cores, then by hash. */
  static ImmutableList<LiveRouter> ranked(
      ImmutableList<String> group, List<LiveRouter> routers) {
    return routers.stream()
        .sorted(
            Comparator.comparingDouble(LiveRouter::cores)
                .reversed()
                .thenComparingLong(router -> weight(group.get(0), router.id())))
        .collect(ImmutableList.toImmutableList());
  }

  private static long weight(String group, String router) {
    return HASH.hashString(group + '/' + router, StandardCharsets.UTF_8).asLong();
  }
}

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
 * Splits the shards of wide searches into groups and ranks the routers that may gather one. Every
 * router comes to the same answer: groups follow the order of the route's shards, and routers of
 * equal machines are ranked by rendezvous hash, so that one that comes or goes moves no other.
 */
final class ShardGroups {
  private static final HashFunction HASH = Hashing.murmur3_128();

  private ShardGroups() {}

  /** The groups, of even size, in the order of the shards; fewer where there are few shards. */
  static ImmutableList<ImmutableList<String>> split(ImmutableList<String> shards, int groups) {
    int size = (shards.size() + groups - 1) / groups;
    return Lists.partition(shards, size).stream()
        .map(ImmutableList::copyOf)
        .collect(ImmutableList.toImmutableList());
  }

  /** Routers in the order in which they gather a group: larger machines first. */
  static ImmutableList<LiveRouter> ranked(ImmutableList<String> group, List<LiveRouter> routers) {
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

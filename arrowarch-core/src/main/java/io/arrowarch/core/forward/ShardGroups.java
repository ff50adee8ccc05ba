package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Lists;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

/**
 * Where there are more routers than the servers have connections for, searches are split into
 * groups of shards, each gathered by some of the routers of a zone. Every router comes to the same
 * answer: groups follow the order of the route's shards, gatherers are those with the highest
 * rendezvous hash, so that a router that comes or goes moves only its own. A server so has
 * connections from a few routers, and these are used often.
 */
final class ShardGroups {
  /** With fewer connections to a server a router often waits for one, or goes elsewhere. */
  private static final int WANTED_CONNECTIONS = 2;

  /** A group outlives the loss of a router. */
  private static final int FEWEST_GATHERERS = 2;

  private static final HashFunction HASH = Hashing.murmur3_128();

  private ShardGroups() {}

  /**
   * How many groups a search has: one while every router has enough connections to every server.
   * Else no fewer than give each router enough, and as many as keep the work of the router that
   * hands groups on and that of one that gathers a group the least together.
   *
   * @param shards of the search
   * @param connections that all routers together may use at a server
   * @param routers that share them
   */
  static int count(int shards, double connections, int routers) {
    int needed = neededFor(connections, routers);
    return needed == 1 ? 1 : Math.max(needed, (int) Math.round(Math.sqrt(shards)));
  }

  private static int neededFor(double connections, int routers) {
    return Math.max(
        1, Math.toIntExact(Math.round(WANTED_CONNECTIONS * routers / Math.max(1, connections))));
  }

  /** The groups, of even size, in the order of the shards; fewer where there are few shards. */
  static ImmutableList<ImmutableList<String>> split(ImmutableList<String> shards, int groups) {
    int size = (shards.size() + groups - 1) / groups;
    return Lists.partition(shards, size).stream()
        .map(ImmutableList::copyOf)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * The routers, by id, that gather a group.
   *
   * @param routers ids of all routers of a zone
   * @param groups how many groups share them
   */
  static ImmutableSet<String> gatherers(
      ImmutableList<String> group, List<String> routers, int groups) {
    int share = (routers.size() + groups - 1) / groups;
    Map<String, Long> weights =
        routers.stream()
            .distinct()
            .collect(
                ImmutableMap.toImmutableMap(
                    Function.identity(), router -> weight(group.get(0), router)));
    return routers.stream()
        .distinct()
        .sorted(Comparator.comparing(router -> Objects.requireNonNull(weights.get(router))))
        .limit(Math.max(FEWEST_GATHERERS, share))
        .collect(ImmutableSet.toImmutableSet());
  }

  private static long weight(String group, String router) {
    return HASH.hashString(group + '/' + router, StandardCharsets.UTF_8).asLong();
  }
}

package io.arrowarch.core.forward;

import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.server.ServerState;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The zones in which the shards of searches have usable servers, cached for a short time. */
final class ZoneCoverage {
  private static final Duration CACHE_LIFETIME = Duration.ofMillis(200);

  private final ServerDirectory directory;
  private final Map<String, Set<String>> zonesByShard = new HashMap<>();
  private long countedNanos = Long.MIN_VALUE;

  ZoneCoverage(ServerDirectory directory) {
    this.directory = directory;
  }

  /** The fraction of the shards, from 0 to 1, with a usable server in any zone. */
  double known(List<String> shards, long nowNanos) {
    int known = 0;
    for (String shard : shards) {
      if (!zonesOf(shard, nowNanos).isEmpty()) {
        known++;
      }
    }
    return (double) known / shards.size();
  }

  /** The fraction of the shards, from 0 to 1, with a usable server in the given zone. */
  double share(String zone, List<String> shards, long nowNanos) {
    int covered = 0;
    for (String shard : shards) {
      if (zonesOf(shard, nowNanos).contains(zone)) {
        covered++;
      }
    }
    return (double) covered / shards.size();
  }

  private Set<String> zonesOf(String shard, long nowNanos) {
    if (nowNanos - countedNanos > CACHE_LIFETIME.toNanos()) {
      zonesByShard.clear();
      countedNanos = nowNanos;
    }
    return zonesByShard.computeIfAbsent(shard, name -> count(name, nowNanos));
  }

  private Set<String> count(String shard, long nowNanos) {
    Set<String> zones = new HashSet<>();
    for (ServerState server : directory.usable(shard, nowNanos)) {
      zones.add(server.entry().zone());
    }
    return zones;
  }
}

package io.arrowarch.core.topology;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.Optional;

/**
 * The back ends that the rules of a kind select for the routers of one zone at one time.
 *
 * @param byShard selected back ends by shard name
 * @param exclusionReasons by id of each excluded back end, the reasons of all rules, joined by
 *     semicolons
 */
public record Selection(
    ImmutableListMultimap<String, Backend> byShard, ImmutableMap<String, String> exclusionReasons) {
  static Selection of(
      QueryKind kind, ImmutableList<Backend> holders, String routerZone, Instant wallTime) {
    ImmutableListMultimap.Builder<String, Backend> byShard = ImmutableListMultimap.builder();
    ImmutableMap.Builder<String, String> reasons = ImmutableMap.builder();
    String layout = kind.layout().name();
    for (Backend backend : holders) {
      Optional<String> reason = exclusionReason(kind, backend, routerZone, wallTime);
      if (reason.isPresent()) {
        reasons.put(backend.id(), reason.get());
      } else {
        byShard.put(backend.shardOf(layout).orElseThrow(), backend);
      }
    }
    return new Selection(byShard.build(), reasons.buildOrThrow());
  }

  private static Optional<String> exclusionReason(
      QueryKind kind, Backend backend, String routerZone, Instant wallTime) {
    StringBuilder reasons = new StringBuilder();
    for (SelectionRule rule : kind.rules()) {
      Optional<String> reason = rule.exclusionReason(backend, routerZone, wallTime);
      if (reason.isEmpty()) {
        return Optional.empty();
      }
      if (reasons.length() > 0) {
        reasons.append("; ");
      }
      reasons.append(reason.get());
    }
    return Optional.of(reasons.toString());
  }
}

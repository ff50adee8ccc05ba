package io.arrowarch.core.query;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Ordering;
import io.arrowarch.core.wire.SearchHit;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Merges the hits of shards, highest score first. Ties are ordered by id, so that the order is
 * deterministic.
 */
final class ResultMerger {
  private static final Comparator<SearchHit> BEST_FIRST =
      Comparator.comparingDouble(SearchHit::score).reversed().thenComparing(SearchHit::id);

  private ResultMerger() {}

  static ImmutableList<SearchHit> merge(Stream<List<SearchHit>> hitsByShard, int limit) {
    Stream<SearchHit> all = hitsByShard.flatMap(List::stream);
    return ImmutableList.copyOf(Ordering.from(BEST_FIRST).leastOf(all.iterator(), limit));
  }
}

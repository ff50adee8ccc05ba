package io.arrowarch.core.query;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Ordering;
import io.arrowarch.core.wire.SearchHit;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Merges the hits of shards: best score first, ties by id, so that the order is always the same.
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

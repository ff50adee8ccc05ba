package io.arrowarch.core.query;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.topology.Layout.Shard;
import java.util.List;
import java.util.function.Predicate;

/**
 * How much of the data an answer covers.
 *
 * @param shardsAsked number of shards that the query addresses
 * @param shardsAnswered number of those whose result is in the answer
 * @param fraction data held by the answered shards divided by data held by the asked shards; from 0
 *     to 1
 * @param missing names of the shards whose result is not in the answer
 */
public record Coverage(
    int shardsAsked, int shardsAnswered, double fraction, ImmutableList<String> missing) {

  /** The coverage of a query, given the shards asked and which of them answered. */
  static Coverage of(List<Shard> asked, Predicate<Shard> answered) {
    ImmutableList.Builder<String> missing = ImmutableList.builder();
    double askedShare = 0;
    double answeredShare = 0;
    int answeredCount = 0;
    for (Shard shard : asked) {
      askedShare += shard.share();
      if (answered.test(shard)) {
        answeredShare += shard.share();
        answeredCount++;
      } else {
        missing.add(shard.name());
      }
    }
    double fraction = answeredCount == asked.size() ? 1.0 : answeredShare / askedShare;
    return new Coverage(asked.size(), answeredCount, fraction, missing.build());
  }
}

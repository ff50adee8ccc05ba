package io.arrowarch.core.query;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.topology.Layout.Shard;
import java.util.List;
import java.util.function.Predicate;

/**
 * How much of the data an answer is drawn from.
 *
 * @param shardsAsked shards of the layout that the query is about
 * @param shardsAnswered those whose result is in the answer
 * @param fraction share of the data that they hold, of the share asked; from 0 to 1
 * @param missing names of the shards whose result is not in the answer
 */
public record Coverage(
    int shardsAsked, int shardsAnswered, double fraction, ImmutableList<String> missing) {

  /** The coverage of the shards asked, given which of them answered. */
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

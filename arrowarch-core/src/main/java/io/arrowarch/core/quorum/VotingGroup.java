package io.arrowarch.core.quorum;

import com.google.common.collect.ImmutableSet;

/** Routers whose majority decides together. */
public record VotingGroup(String name, ImmutableSet<String> voters) {
  /** The smallest number of voters that any two such sets share one of. */
  public int majority() {
    return voters.size() / 2 + 1;
  }
}

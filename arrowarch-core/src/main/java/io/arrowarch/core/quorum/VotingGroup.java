package io.arrowarch.core.quorum;

import com.google.common.collect.ImmutableSet;

/** A set of routers that decides by majority. */
public record VotingGroup(String name, ImmutableSet<String> voters) {
  /** The smallest size at which any two subsets of the voters have a voter in common. */
  public int majority() {
    return voters.size() / 2 + 1;
  }
}

package io.arrowarch.core.quorum;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The replies of voters to one round of confirmation requests. */
final class ConfirmationRound {
  /**
   * Later replies are not counted. Shorter than {@link VoterRecovery#MINIMUM_RECOVERY_TIME}, so
   * that no voter that replied can have restarted and recovered within the same round.
   */
  static final Duration TIMEOUT = Duration.ofMillis(800);

  private final long number;
  private final long startNanos;
  private final Map<String, VoterReply> replies = new HashMap<>();

  /** What one voter replied: whether it votes and which configuration it has in force. */
  record VoterReply(boolean voting, ConfigurationId held) {}

  ConfirmationRound(long number, long startNanos) {
    this.number = number;
    this.startNanos = startNanos;
  }

  long number() {
    return number;
  }

  long startNanos() {
    return startNanos;
  }

  boolean isOver(long nowNanos) {
    return nowNanos - startNanos > TIMEOUT.toNanos();
  }

  void add(String voter, VoterReply reply) {
    replies.put(voter, reply);
  }

  Optional<VoterReply> replyOf(String voter) {
    return Optional.ofNullable(replies.get(voter));
  }

  /** Whether a majority of the group votes and has a configuration that meets the condition. */
  boolean hasMajority(VotingGroup group, Predicate<ConfigurationId> condition) {
    return countVoting(group, condition) >= group.majority();
  }

  /** The number of voting members of the group whose configuration meets the condition. */
  int countVoting(VotingGroup group, Predicate<ConfigurationId> condition) {
    int count = 0;
    for (String voter : group.voters()) {
      VoterReply reply = replies.get(voter);
      if (reply != null && reply.voting() && condition.test(reply.held())) {
        count++;
      }
    }
    return count;
  }

  /** The configurations of the members that replied, voting or not. */
  ImmutableList<ConfigurationId> held(VotingGroup group) {
    return group.voters().stream()
        .flatMap(voter -> replyOf(voter).stream())
        .map(VoterReply::held)
        .collect(ImmutableList.toImmutableList());
  }
}

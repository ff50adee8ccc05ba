package io.arrowarch.core.quorum;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import io.arrowarch.core.config.ConfigurationId;
import java.time.Duration;

/**
 * Decides when a restarted voter may vote again. Routers persist nothing across a restart. A new
 * incarnation must therefore first learn of every configuration that its earlier ones may have
 * helped to accept.
 *
 * <p>A voter recovers, at the earliest after {@link #MINIMUM_RECOVERY_TIME}, when other voting
 * members that form a majority of the whole group have replied in one round. Those members have
 * then also recorded the new incarnation and refuse older ones. Where no such majority exists (the
 * first start of a fleet, or several members lost at once), each other member must have either
 * replied or been missing from the platform's list for {@link #GONE_AFTER}. In both cases, the
 * voter must have in force the newest configuration that any member reported.
 */
final class VoterRecovery {
  /**
   * Longer than {@link ConfirmationRound#TIMEOUT}, so that a voter cannot reply, restart and
   * recover within one round.
   */
  static final Duration MINIMUM_RECOVERY_TIME = Duration.ofSeconds(1);

  /**
   * How long a voter must be missing from the platform's list before it counts as gone. A voter
   * that replied in the round never counts as gone.
   */
  static final Duration GONE_AFTER = Duration.ofSeconds(10);

  private final String nodeId;
  private final long startNanos;
  private final MissingRouters missingRouters;
  private boolean voting;

  VoterRecovery(String nodeId, long startNanos, MissingRouters missingRouters) {
    this.nodeId = nodeId;
    this.startNanos = startNanos;
    this.missingRouters = missingRouters;
  }

  boolean isVoting() {
    return voting;
  }

  /** Makes this router a voter when the replies of the round suffice. */
  void evaluate(
      ConfirmationRound round, VotingGroup group, ConfigurationId inForce, long nowNanos) {
    boolean early = nowNanos - startNanos < MINIMUM_RECOVERY_TIME.toNanos();
    if (voting || early || !group.voters().contains(nodeId) || !coversAll(round, group, inForce)) {
      return;
    }
    voting = hasOtherMajority(round, group) || allOthersRepliedOrGone(round, group, nowNanos);
  }

  private static boolean coversAll(
      ConfirmationRound round, VotingGroup group, ConfigurationId inForce) {
    ImmutableList<ConfigurationId> held = round.held(group);
    return held.stream().allMatch(inForce::covers);
  }

  private static boolean hasOtherMajority(ConfirmationRound round, VotingGroup group) {
    return round.hasMajority(group, held -> true);
  }

  private boolean allOthersRepliedOrGone(
      ConfirmationRound round, VotingGroup group, long nowNanos) {
    for (String other : Sets.difference(group.voters(), Sets.newHashSet(nodeId))) {
      boolean replied = round.replyOf(other).isPresent();
      if (!replied && !missingRouters.isMissingFor(other, GONE_AFTER, nowNanos)) {
        return false;
      }
    }
    return true;
  }
}

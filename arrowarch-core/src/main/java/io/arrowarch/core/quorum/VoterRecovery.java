package io.arrowarch.core.quorum;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import io.arrowarch.core.config.ConfigurationId;
import java.time.Duration;

/**
 * Decides when a restarted voter may vote again. Nodes keep nothing over a restart, so that a new
 * incarnation must first learn whatever its earlier ones may have helped to accept.
 *
 * <p>It recovers from a majority of its group other than itself, each of which has then also noted
 * the new incarnation and refuses older ones. Where no such majority exists (a start from nothing,
 * or several members lost at once) every other member must either be heard or be missing from the
 * platform's list for some time.
 */
final class VoterRecovery {
  /** Longer than {@link ConfirmationRound#TIMEOUT}, see there. */
  static final Duration LEAST_RECOVERY_TIME = Duration.ofSeconds(1);

  /** How long the platform's list must lack a silent voter before it counts as gone. */
  static final Duration GONE_AFTER = Duration.ofSeconds(10);

  private final String nodeId;
  private final long startNanos;
  private final RouterList routerList;
  private boolean voting;

  VoterRecovery(String nodeId, long startNanos, RouterList routerList) {
    this.nodeId = nodeId;
    this.startNanos = startNanos;
    this.routerList = routerList;
  }

  boolean isVoting() {
    return voting;
  }

  /** Looks at a round and starts to vote when it suffices. */
  void evaluate(
      ConfirmationRound round, VotingGroup group, ConfigurationId inForce, long nowNanos) {
    boolean early = nowNanos - startNanos < LEAST_RECOVERY_TIME.toNanos();
    if (voting || early || !group.voters().contains(nodeId) || !coversAll(round, group, inForce)) {
      return;
    }
    voting = hasOtherMajority(round, group) || everyOtherIsHeardOrGone(round, group, nowNanos);
  }

  private static boolean coversAll(
      ConfirmationRound round, VotingGroup group, ConfigurationId inForce) {
    ImmutableList<ConfigurationId> held = round.held(group);
    return held.stream().allMatch(inForce::covers);
  }

  private static boolean hasOtherMajority(ConfirmationRound round, VotingGroup group) {
    return round.hasMajority(group, held -> true);
  }

  private boolean everyOtherIsHeardOrGone(
      ConfirmationRound round, VotingGroup group, long nowNanos) {
    for (String other : Sets.difference(group.voters(), Sets.newHashSet(nodeId))) {
      boolean heard = round.statementOf(other).isPresent();
      if (!heard && !routerList.isMissingFor(other, GONE_AFTER, nowNanos)) {
        return false;
      }
    }
    return true;
  }
}

package io.arrowarch.core.router;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.config.ConfigurationId;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.quorum.ConfigurationStore.RefusedConfiguration;
import java.util.Optional;

/**
 * What a router shows to operators.
 *
 * @param state {@code serving}, {@code unconfirmed}, {@code superseded} or {@code draining}
 * @param inForce the configuration by which queries are planned
 * @param accepted the newest one that a majority of every voting group is known to hold
 * @param refused the newest document that was refused, with its faults
 * @param voting whether this node's statements count towards acceptance
 * @param leaseLeftMillis how long it may go on serving without another confirmation
 * @param queriesInProgress received and not yet answered
 */
public record RouterStatus(
    String id,
    String zone,
    long incarnation,
    String state,
    ConfigurationId inForce,
    ConfigurationId accepted,
    Optional<RefusedConfiguration> refused,
    boolean voting,
    long leaseLeftMillis,
    int queriesInProgress,
    ImmutableList<MemberRecord> members,
    ImmutableList<BackendStatus> backends) {

  /**
   * What a router knows of a back end.
   *
   * @param reason why it gets no new work; empty when it may get some
   * @param inFlight this router's attempts outstanding there
   * @param limit attempts that this router keeps in flight there at most
   * @param reasonsByKind why the selectors of a kind leave it out; {@code eligible} when they do
   *     not
   */
  public record BackendStatus(
      String id,
      String address,
      String zone,
      Optional<String> reason,
      Optional<String> incarnation,
      int inFlight,
      int limit,
      int running,
      int waiting,
      ImmutableMap<String, String> reasonsByKind) {}
}

package io.arrowarch.core.router;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.config.ConfigurationId;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.quorum.ConfigurationStore.RefusedConfiguration;
import java.util.Optional;

/**
 * The state of a router, for operators.
 *
 * @param state {@code serving}, {@code unconfirmed}, {@code superseded} or {@code draining}; {@code
 *     draining} from the first step of a planned stop
 * @param inForce the configuration used to plan queries
 * @param accepted the newest configuration of which it is known that a majority of every voting
 *     group holds it or a later one
 * @param refused the document that was refused last, with its faults
 * @param voting whether this router counts as a voter
 * @param leaseLeftMillis how long this router may serve without another confirmation
 * @param queriesInProgress queries received and not yet answered
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
   * The state of a back end as this router knows it.
   *
   * @param reason why it is sent no new work; empty when it is eligible
   * @param inFlight attempts of this router in progress there
   * @param limit maximum number of attempts that this router may have in progress there
   * @param reasonsByKind by query kind, why its rules exclude this back end, or {@code eligible};
   *     without the kinds of whose layout the back end holds no shard
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

package io.arrowarch.core.router;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.query.NodeIdentity;
import io.arrowarch.core.query.QueryCoordinator;
import io.arrowarch.core.quorum.ConfigurationAgreement;
import io.arrowarch.core.replica.IneligibleReason;
import io.arrowarch.core.replica.ReplicaState;
import io.arrowarch.core.replica.ReplicaTable;
import io.arrowarch.core.router.RouterStatus.BackendStatus;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.core.topology.QueryKind;
import io.arrowarch.core.topology.Selection;
import io.arrowarch.core.wire.BackendReport;
import java.util.Optional;

/** Builds the {@link RouterStatus} of a router. */
final class StatusReporter {
  private static final String ELIGIBLE = "eligible";

  private final NodeIdentity identity;
  private final RouterClock clock;
  private final QueryService service;
  private final QueryCoordinator coordinator;
  private final ConfigurationAgreement agreement;
  private final ReplicaTable replicas;

  StatusReporter(
      NodeIdentity identity,
      RouterClock clock,
      QueryService service,
      QueryCoordinator coordinator,
      ConfigurationAgreement agreement,
      ReplicaTable replicas) {
    this.identity = identity;
    this.clock = clock;
    this.service = service;
    this.coordinator = coordinator;
    this.agreement = agreement;
    this.replicas = replicas;
  }

  RouterStatus status(ImmutableList<MemberRecord> members) {
    return new RouterStatus(
        identity.id(),
        identity.zone(),
        identity.incarnation(),
        state(),
        agreement.store().inForceId(),
        agreement.store().accepted(),
        agreement.store().refused(),
        agreement.isVoting(),
        agreement.leaseLeft().toMillis(),
        service.pending(),
        members,
        backends());
  }

  private String state() {
    if (service.isLeaving()) {
      return "draining";
    }
    if (agreement.isSuperseded()) {
      return "superseded";
    }
    return agreement.isConfirmed(clock.nanoTime()) ? "serving" : "unconfirmed";
  }

  private ImmutableList<BackendStatus> backends() {
    ImmutableMap<String, Selection> selections =
        coordinator.configuration().map(this::selectionsByKind).orElse(ImmutableMap.of());
    return replicas.all().stream()
        .map(replica -> backend(replica, selections))
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableMap<String, Selection> selectionsByKind(Configuration configuration) {
    ImmutableMap.Builder<String, Selection> selections = ImmutableMap.builder();
    for (QueryKind kind : configuration.kinds().values()) {
      selections.put(kind.name(), coordinator.select(kind));
    }
    return selections.buildOrThrow();
  }

  private BackendStatus backend(ReplicaState replica, ImmutableMap<String, Selection> selections) {
    ImmutableMap.Builder<String, String> reasons = ImmutableMap.builder();
    selections.forEach(
        (kind, selection) -> {
          String id = replica.backend().id();
          if (selection.exclusionReasons().containsKey(id)) {
            reasons.put(kind, selection.exclusionReasons().get(id));
          } else if (selection.byShard().containsValue(replica.backend())) {
            reasons.put(kind, ELIGIBLE);
          }
        });
    Optional<BackendReport> report = replica.report();
    return new BackendStatus(
        replica.backend().id(),
        replica.backend().address(),
        replica.backend().zone(),
        ineligibleReason(replica).map(IneligibleReason::description),
        report.map(BackendReport::incarnation),
        replica.inFlight(),
        replica.limit(),
        report.map(BackendReport::running).orElse(0),
        report.map(BackendReport::waiting).orElse(0),
        reasons.buildOrThrow());
  }

  private Optional<IneligibleReason> ineligibleReason(ReplicaState replica) {
    long nowNanos = clock.nanoTime();
    Optional<IneligibleReason> reason = replica.ineligibleReason(nowNanos);
    if (reason.isEmpty() && replica.isEjected(nowNanos)) {
      return Optional.of(IneligibleReason.EJECTED);
    }
    return reason;
  }
}

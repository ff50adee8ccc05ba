package io.arrowarch.core.query;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.TestDocuments;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.core.replica.ReplicaTable;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.core.wire.BackendReply;
import io.arrowarch.core.wire.BackendReply.NotRunReason;
import io.arrowarch.core.wire.BackendReply.Outcome;
import io.arrowarch.core.wire.BackendReport;
import io.arrowarch.core.wire.SearchHit;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * A coordinator with a fake clock and a transport that records attempts instead of sending them.
 */
final class CoordinatorFixture implements AttemptTransport {
  final FakeClock clock = new FakeClock();
  final TimerQueue timers = new TimerQueue();
  final ReplicaTable replicas = new ReplicaTable((backend, incarnation) -> {});
  final List<Attempt> sent = new ArrayList<>();
  final List<Attempt> cancelled = new ArrayList<>();
  final List<Either<QueryError, QueryAnswer>> outcomes = new ArrayList<>();
  final QueryCoordinator coordinator;
  boolean confirmed = true;

  CoordinatorFixture() {
    coordinator =
        new QueryCoordinator(
            new NodeIdentity("n1", "z1", 7),
            clock,
            timers,
            new Random(1),
            replicas,
            this,
            HedgePolicy.adaptive(),
            now -> confirmed,
            100);
    Configuration configuration = Configuration.compile(TestDocuments.valid());
    replicas.reconfigure(configuration.backends(), configuration.routerCount());
    coordinator.reconfigure(configuration);
  }

  /** Delivers a report from each of the four back ends, which holds these snapshots. */
  CoordinatorFixture reportSnapshots(Long... snapshots) {
    for (String id : List.of("a0", "b0", "a1", "b1")) {
      report(id, false, snapshots);
    }
    return this;
  }

  void report(String id, boolean draining, Long... snapshots) {
    replicas.onReport(id, reportOf(id, draining, snapshots), clock.nanoTime());
  }

  static BackendReport reportOf(String id, boolean draining, Long... snapshots) {
    return new BackendReport(
        id, "i1", draining, 0, 0, Map.of(TestDocuments.LAYOUT, Set.of(snapshots)));
  }

  void submit(String kind) {
    coordinator.submit(
        new QueryRequest(
            "r1",
            kind,
            Optional.empty(),
            10,
            Optional.of("key"),
            Optional.empty(),
            JsonNodeFactory.instance.objectNode()),
        clock.nanoTime(),
        outcomes::add);
  }

  void advance(Duration length) {
    clock.advance(length);
    timers.runDue(clock.nanoTime());
  }

  /** Delivers a success from the snapshot that the attempt was pinned to. */
  void succeed(Attempt attempt) {
    coordinator.onReply(attempt.id(), success(attempt, attempt.request().snapshot()));
  }

  BackendReply success(Attempt attempt, Optional<Long> snapshot) {
    return reply(attempt, Outcome.OK, Optional.empty(), snapshot, attempt.request().shard());
  }

  /** Delivers a refusal whose report names the snapshots still held. */
  void refuse(Attempt attempt, NotRunReason reason, Long... held) {
    BackendReply template =
        reply(
            attempt,
            Outcome.NOT_RUN,
            Optional.of(reason),
            Optional.empty(),
            attempt.request().shard());
    coordinator.onReply(
        attempt.id(),
        new BackendReply(
            template.attempt(),
            template.layout(),
            template.shard(),
            template.snapshot(),
            template.outcome(),
            template.reason(),
            List.of(),
            Optional.empty(),
            reportOf(attempt.backend().id(), reason == NotRunReason.DRAINING, held)));
  }

  BackendReply reply(
      Attempt attempt,
      Outcome outcome,
      Optional<NotRunReason> reason,
      Optional<Long> snapshot,
      String shard) {
    return new BackendReply(
        attempt.id(),
        attempt.request().layout(),
        shard,
        snapshot,
        outcome,
        reason,
        List.of(
            new SearchHit(
                attempt.request().shard() + "-hit", 0.5, JsonNodeFactory.instance.objectNode())),
        Optional.empty(),
        reportOf(attempt.backend().id(), false, snapshot.stream().toArray(Long[]::new)));
  }

  QueryAnswer answer() {
    return outcomes.get(0).get();
  }

  QueryError error() {
    return outcomes.get(0).getLeft();
  }

  @Override
  public void send(Attempt attempt) {
    sent.add(attempt);
  }

  @Override
  public void cancel(Attempt attempt) {
    cancelled.add(attempt);
  }
}

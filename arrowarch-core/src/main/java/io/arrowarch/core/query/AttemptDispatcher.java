package io.arrowarch.core.query;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.hedge.ExtraAttemptBudget;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.core.replica.AttemptResult;
import io.arrowarch.core.replica.ReplicaChooser;
import io.arrowarch.core.replica.ReplicaState;
import io.arrowarch.core.replica.ReplicaTable;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.wire.BackendReply;
import io.arrowarch.core.wire.BackendRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Starts and cancels attempts, and routes each reply or failure to its attempt. An attempt is
 * registered from its start until its outcome is known or it is cancelled. A reply or failure of an
 * attempt that is not registered is dropped.
 */
final class AttemptDispatcher {
  private static final long MINIMUM_DEADLINE_MILLIS = 1;
  private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(200);
  private static final Duration RETRY_AFTER_SPREAD = Duration.ofMillis(800);

  private final NodeIdentity identity;
  private final RouterClock clock;
  private final RandomGenerator random;
  private final ReplicaTable replicas;
  private final ReplicaChooser chooser;
  private final AttemptTransport transport;
  private final HedgePolicy hedgePolicy;
  private final ServingPermit permit;
  private final QueryCounters counters;
  private final Map<String, OutstandingAttempt> attempts = new HashMap<>();
  private final Set<QueryExecution> executions = new HashSet<>();
  private final WaitingShards waitingShards = new WaitingShards();
  private long nextAttemptNumber = 1;

  AttemptDispatcher(
      NodeIdentity identity,
      RouterClock clock,
      RandomGenerator random,
      ReplicaTable replicas,
      AttemptTransport transport,
      HedgePolicy hedgePolicy,
      ServingPermit permit,
      QueryCounters counters) {
    this.identity = identity;
    this.clock = clock;
    this.random = random;
    this.replicas = replicas;
    this.chooser = new ReplicaChooser(identity.zone(), random);
    this.transport = transport;
    this.hedgePolicy = hedgePolicy;
    this.permit = permit;
    this.counters = counters;
  }

  long nowNanos() {
    return clock.nanoTime();
  }

  QueryCounters counters() {
    return counters;
  }

  Set<QueryExecution> executions() {
    return executions;
  }

  int queueLength(String backendId) {
    return waitingShards.length(backendId);
  }

  /** A random duration between half of the given one and all of it. */
  long jitter(long nanos) {
    return nanos / 2 + random.nextLong(nanos / 2 + 1);
  }

  /**
   * How long a refused caller should wait before it retries. The duration is random, so that
   * callers refused together do not retry together.
   */
  Duration retryAfter() {
    return MINIMUM_RETRY_AFTER.plusMillis(random.nextLong(RETRY_AFTER_SPREAD.toMillis()));
  }

  ImmutableList<ReplicaState> eligible(List<ReplicaState> candidates, long nowNanos) {
    return candidates.stream()
        .filter(replica -> replica.ineligibleReason(nowNanos).isEmpty())
        .collect(ImmutableList.toImmutableList());
  }

  Optional<ReplicaState> choose(List<ReplicaState> candidates) {
    return chooser.choose(candidates);
  }

  /** Whether a hedge may be sent now. If so, it is charged to the budget, where one applies. */
  boolean mayHedge(ExtraAttemptBudget budget) {
    if (!permit.isConfirmed(nowNanos())) {
      return false;
    }
    return !hedgePolicy.isBudgeted() || budget.tryWithdraw();
  }

  /** Queues a shard until one of its eligible replicas has room. */
  void enqueue(ShardProgress progress, List<ReplicaState> eligible, AttemptPurpose purpose) {
    waitingShards.add(progress, eligible, purpose);
  }

  void start(ShardProgress progress, ReplicaState replica, AttemptPurpose purpose) {
    long nowNanos = nowNanos();
    Attempt attempt = createAttempt(progress, replica, nowNanos);
    OutstandingAttempt outstanding = new OutstandingAttempt(attempt, progress, nowNanos);
    attempts.put(attempt.id(), outstanding);
    progress.onAttemptStarted(outstanding, purpose);
    counters.onAttempt(purpose);
    if (purpose == AttemptPurpose.FIRST) {
      progress.execution().kindState().budget().onFirstAttempt();
    }
    replicas.onAttemptStarted(replica.backend().id());
    transport.send(attempt);
  }

  /** See {@link QueryCoordinator#mayWrite}. */
  boolean mayWrite(String attemptId) {
    OutstandingAttempt outstanding = attempts.get(attemptId);
    long nowNanos = nowNanos();
    return outstanding != null
        && nowNanos < outstanding.attempt().deadlineNanos()
        && permit.isConfirmed(nowNanos);
  }

  void onReply(String attemptId, BackendReply reply) {
    OutstandingAttempt outstanding = attempts.get(attemptId);
    if (outstanding == null) {
      counters.onLateReply();
      return;
    }
    String backendId = outstanding.attempt().backend().id();
    long nowNanos = nowNanos();
    if (!attemptId.equals(reply.attempt())) {
      counters.onInvalidReply();
      onFailure(attemptId, AttemptFailure.GARBLED_REPLY);
      return;
    }
    remove(outstanding);
    replicas.onReport(backendId, reply.report(), nowNanos);
    AttemptResult result = outstanding.progress().execution().onReply(outstanding, reply, nowNanos);
    end(backendId, result, nowNanos);
  }

  void onFailure(String attemptId, AttemptFailure failure) {
    OutstandingAttempt outstanding = attempts.get(attemptId);
    if (outstanding == null) {
      return;
    }
    String backendId = outstanding.attempt().backend().id();
    long nowNanos = nowNanos();
    remove(outstanding);
    outstanding.progress().execution().onFailure(outstanding, failure, nowNanos);
    end(backendId, resultOf(failure), nowNanos);
  }

  /**
   * Cancels the outstanding attempts of a shard.
   *
   * @param winnerStartNanos when the attempt that answered was started. A cancelled attempt that
   *     started earlier counts as a failure of its back end. {@code Long.MAX_VALUE} when no attempt
   *     answered; the cancelled attempts then don't count against their back ends
   */
  void cancelOutstanding(ShardProgress progress, long winnerStartNanos) {
    for (OutstandingAttempt outstanding : ImmutableList.copyOf(progress.outstanding())) {
      remove(outstanding);
      transport.cancel(outstanding.attempt());
      boolean overtaken =
          winnerStartNanos != Long.MAX_VALUE && outstanding.startNanos() < winnerStartNanos;
      AttemptResult result = overtaken ? AttemptResult.FAILURE : AttemptResult.NEUTRAL;
      end(outstanding.attempt().backend().id(), result, nowNanos());
    }
  }

  void onStarted(QueryExecution execution) {
    executions.add(execution);
  }

  void onFinished(QueryExecution execution) {
    executions.remove(execution);
  }

  private Attempt createAttempt(ShardProgress progress, ReplicaState replica, long nowNanos) {
    QueryExecution execution = progress.execution();
    long leftMillis = Duration.ofNanos(execution.deadlineNanos() - nowNanos).toMillis();
    BackendRequest request =
        new BackendRequest(
            identity.id() + ":" + identity.incarnation() + ":" + nextAttemptNumber++,
            execution.kind().name(),
            execution.kind().operation(),
            execution.kind().layout().id(),
            progress.shard().name(),
            execution.pinnedSnapshot(),
            Math.max(MINIMUM_DEADLINE_MILLIS, leftMillis),
            execution.request().limit(),
            execution.request().key(),
            execution.request().body());
    return new Attempt(replica.backend(), request, execution.deadlineNanos());
  }

  private void remove(OutstandingAttempt outstanding) {
    attempts.remove(outstanding.attempt().id());
    outstanding.progress().onAttemptEnded(outstanding);
  }

  private void end(String backendId, AttemptResult result, long nowNanos) {
    replicas.onAttemptEnded(backendId, result, nowNanos);
    replicas.find(backendId).ifPresent(this::startQueued);
  }

  /** Starts queued shards while a replica has room. */
  private void startQueued(ReplicaState replica) {
    while (replica.hasRoom()) {
      Optional<ShardProgress> next = waitingShards.poll(replica.backend().id());
      if (next.isEmpty()) {
        return;
      }
      ShardProgress progress = next.get();
      progress.execution().tryStart(progress, progress.waitingPurpose(), nowNanos());
    }
  }

  private static AttemptResult resultOf(AttemptFailure failure) {
    return switch (failure) {
      case UNREACHABLE -> AttemptResult.UNREACHABLE;
      case NOT_WRITTEN -> AttemptResult.NEUTRAL;
      case CONNECTION_LOST, GARBLED_REPLY -> AttemptResult.FAILURE;
    };
  }
}

package io.arrowarch.core.query;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.Operation;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.replica.AttemptResult;
import io.arrowarch.core.replica.ReplicaState;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.topology.QueryKind;
import io.arrowarch.core.topology.Selection;
import io.arrowarch.core.wire.BackendReply;
import io.arrowarch.core.wire.BackendReply.NotRunReason;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The state machine of one query. It sends attempts to all shards, hedges and retries them, and
 * merges the replies. It delivers exactly one outcome and starts no attempt after that.
 */
final class QueryExecution {
  private static final int MAXIMUM_REPLANS = 2;
  private static final int MAXIMUM_ATTEMPTS_PER_SHARD = 4;
  private static final Duration RETRY_BACKOFF = Duration.ofMillis(5);

  private final AttemptDispatcher dispatcher;
  private final QueryPlanner planner;
  private final TimerQueue timers;
  private final QueryRequest request;
  private final QueryKind kind;
  private final Selection selection;
  private final KindState kindState;
  private final long hedgeDelayNanos;
  private final long deadlineNanos;
  private final Consumer<Either<QueryError, QueryAnswer>> sink;
  private final ExecutionEvidence evidence = new ExecutionEvidence();
  private QueryPlan plan;
  private int replans;
  private boolean finished;
  private TimerQueue.Timer deadlineTimer;

  QueryExecution(
      AttemptDispatcher dispatcher,
      QueryPlanner planner,
      TimerQueue timers,
      QueryRequest request,
      QueryKind kind,
      Selection selection,
      KindState kindState,
      long hedgeDelayNanos,
      long deadlineNanos,
      Consumer<Either<QueryError, QueryAnswer>> sink) {
    this.dispatcher = dispatcher;
    this.planner = planner;
    this.timers = timers;
    this.request = request;
    this.kind = kind;
    this.selection = selection;
    this.kindState = kindState;
    this.hedgeDelayNanos = hedgeDelayNanos;
    this.deadlineNanos = deadlineNanos;
    this.sink = sink;
  }

  QueryRequest request() {
    return request;
  }

  QueryKind kind() {
    return kind;
  }

  KindState kindState() {
    return kindState;
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  Optional<Long> pinnedSnapshot() {
    return plan.snapshot();
  }

  QueryPlan plan() {
    return plan;
  }

  boolean isFinished() {
    return finished;
  }

  /** Plans the query without sending anything, so that admission control can check the plan. */
  void prepare(long nowNanos) {
    plan = planner.plan(this, selection, nowNanos);
  }

  /** Sends the first attempt of every shard and starts the timers. */
  void start(long nowNanos) {
    deadlineTimer = timers.schedule(deadlineNanos, this::onDeadline);
    scatter(nowNanos);
  }

  /** Ends the query with an error before any attempt is sent. */
  void refuse(QueryError error) {
    finish(Either.left(error));
  }

  private void scatter(long nowNanos) {
    if (failIfCoverageUnreachable() || finishIfSettled()) {
      return;
    }
    int planNumber = replans;
    for (ShardProgress progress : plan.shards()) {
      if (isCurrent(planNumber) && !progress.isSettled()) {
        tryStart(progress, AttemptPurpose.FIRST, nowNanos);
      }
    }
    scheduleHedges(planNumber, nowNanos + hedgeDelayNanos);
  }

  /**
   * Sends the next attempt for a shard. Without room at any eligible replica, the shard is queued;
   * without any eligible replica, the shard is lost.
   */
  void tryStart(ShardProgress progress, AttemptPurpose purpose, long nowNanos) {
    ImmutableList<ReplicaState> eligible = dispatcher.eligible(progress.untried(), nowNanos);
    if (eligible.isEmpty()) {
      giveUp(progress);
      return;
    }
    Optional<ReplicaState> replica = dispatcher.choose(eligible);
    if (replica.isPresent()) {
      dispatcher.start(progress, replica.get(), purpose);
    } else {
      dispatcher.enqueue(progress, eligible, purpose);
    }
  }

  /** Handles a reply to an attempt of this query. The dispatcher has removed the attempt. */
  AttemptResult onReply(OutstandingAttempt attempt, BackendReply reply, long nowNanos) {
    return switch (reply.outcome()) {
      case OK -> onSuccess(attempt, reply, nowNanos);
      case NOT_RUN -> onNotRun(attempt.progress(), reply, nowNanos);
      case FAILED -> {
        evidence.recordPossibleRun();
        retry(attempt.progress(), nowNanos);
        yield AttemptResult.FAILURE;
      }
    };
  }

  /** Handles an attempt that failed without a valid reply. */
  void onFailure(OutstandingAttempt attempt, AttemptFailure failure, long nowNanos) {
    if (failure.mayHaveRun()) {
      evidence.recordPossibleRun();
    }
    retry(attempt.progress(), nowNanos);
  }

  private AttemptResult onSuccess(OutstandingAttempt attempt, BackendReply reply, long nowNanos) {
    evidence.recordRun();
    if (!matchesRequest(attempt, reply)) {
      dispatcher.counters().onInvalidReply();
      retry(attempt.progress(), nowNanos);
      return AttemptResult.FAILURE;
    }
    kindState.latencies().record(nowNanos - attempt.startNanos(), nowNanos);
    attempt.progress().onAnswered(reply);
    dispatcher.cancelOutstanding(attempt.progress(), attempt.startNanos());
    finishIfSettled();
    return AttemptResult.SUCCESS;
  }

  private boolean matchesRequest(OutstandingAttempt attempt, BackendReply reply) {
    boolean snapshotMatches = plan.snapshot().isEmpty() || plan.snapshot().equals(reply.snapshot());
    return snapshotMatches
        && reply.layout().equals(kind.layout().id())
        && reply.shard().equals(attempt.progress().shard().name());
  }

  /** Handles a request that was not run. A reply without a reason counts as shed load. */
  private AttemptResult onNotRun(ShardProgress progress, BackendReply reply, long nowNanos) {
    NotRunReason reason = reply.reason().orElse(NotRunReason.SHED);
    if (reason == NotRunReason.SNAPSHOT_GONE && replan(nowNanos)) {
      return AttemptResult.NEUTRAL;
    }
    boolean shed = reason == NotRunReason.SHED;
    retry(progress, shed, nowNanos);
    return shed ? AttemptResult.SHED : AttemptResult.NEUTRAL;
  }

  private void retry(ShardProgress progress, long nowNanos) {
    retry(progress, false, nowNanos);
  }

  private void retry(ShardProgress progress, boolean afterShed, long nowNanos) {
    if (finished || progress.isSettled() || !progress.outstanding().isEmpty()) {
      return;
    }
    boolean allowed = kind.repeatable() && progress.attempts() < MAXIMUM_ATTEMPTS_PER_SHARD;
    if (!allowed || !withdrawForRetry(afterShed)) {
      giveUp(progress);
    } else if (!dispatcher.eligible(progress.untried(), nowNanos).isEmpty()) {
      tryStart(progress, AttemptPurpose.RETRY, nowNanos);
    } else {
      retryAfterBackoff(progress, nowNanos);
    }
  }

  /** Charges a retry to the budget; false when too little of it is left. */
  private boolean withdrawForRetry(boolean afterShed) {
    return afterShed ? kindState.budget().tryWithdrawAfterShed() : kindState.budget().tryWithdraw();
  }

  /**
   * Retries a shard after a backoff: {@link #RETRY_BACKOFF}, doubled for each attempt so far, less
   * a jitter of up to half.
   */
  private void retryAfterBackoff(ShardProgress progress, long nowNanos) {
    long backoffNanos = RETRY_BACKOFF.toNanos() << progress.attempts();
    long delayNanos = dispatcher.jitter(backoffNanos);
    int planNumber = replans;
    progress.clearTriedBackends();
    timers.schedule(
        nowNanos + delayNanos,
        () -> {
          if (isCurrent(planNumber) && !progress.isSettled()) {
            tryStart(progress, AttemptPurpose.RETRY, dispatcher.nowNanos());
          }
        });
  }

  /**
   * Restarts the query with a new plan, on a snapshot that replicas last reported. They may have
   * dropped it since; the number of replans is therefore limited. Returns false if the query is
   * finished, has no replan left or is past its deadline.
   */
  private boolean replan(long nowNanos) {
    if (finished || replans >= MAXIMUM_REPLANS || nowNanos >= deadlineNanos) {
      return false;
    }
    replans++;
    dispatcher.counters().onReplan();
    abandonPlan();
    prepare(nowNanos);
    scatter(nowNanos);
    return true;
  }

  private boolean isCurrent(int planNumber) {
    return !finished && replans == planNumber;
  }

  private void scheduleHedges(int planNumber, long dueNanos) {
    if (!kind.repeatable() || kind.hedgeBudget() <= 0 || dueNanos >= deadlineNanos) {
      return;
    }
    timers.schedule(dueNanos, () -> hedge(planNumber));
  }

  private void hedge(int planNumber) {
    long nowNanos = dispatcher.nowNanos();
    if (!isCurrent(planNumber) || nowNanos >= deadlineNanos) {
      return;
    }
    long nextDueNanos = Long.MAX_VALUE;
    for (ShardProgress progress : plan.shards()) {
      if (progress.isSettled() || progress.isHedged()) {
        continue;
      }
      long dueNanos = hedgeDueNanos(progress, nowNanos);
      if (dueNanos <= nowNanos) {
        tryHedge(progress, nowNanos);
      } else {
        nextDueNanos = Math.min(nextDueNanos, dueNanos);
      }
    }
    scheduleHedges(planNumber, nextDueNanos);
  }

  private long hedgeDueNanos(ShardProgress progress, long nowNanos) {
    long startNanos =
        progress.outstanding().isEmpty() ? nowNanos : progress.outstanding().get(0).startNanos();
    return startNanos + hedgeDelayNanos;
  }

  private void tryHedge(ShardProgress progress, long nowNanos) {
    Optional<ReplicaState> replica =
        dispatcher.choose(dispatcher.eligible(progress.untried(), nowNanos));
    if (replica.isPresent() && dispatcher.mayHedge(kindState.budget())) {
      dispatcher.start(progress, replica.get(), AttemptPurpose.HEDGE);
    }
  }

  /** Marks a shard as lost: this plan sends no further attempt for it. */
  private void giveUp(ShardProgress progress) {
    progress.onLost();
    if (!failIfCoverageUnreachable()) {
      finishIfSettled();
    }
  }

  /**
   * Ends the query with an error as soon as the lost shards make the kind's minimum coverage
   * unreachable, or when no shard can answer, even if the minimum coverage is 0. Returns whether
   * the query is finished.
   */
  private boolean failIfCoverageUnreachable() {
    if (finished) {
      return true;
    }
    Coverage best = plan.bestCoverage();
    if (best.shardsAnswered() > 0 && best.fraction() >= kind.minimumCoverage()) {
      return false;
    }
    finishWithError(
        kind.operation() == Operation.SEARCH
            ? ErrorKind.COVERAGE_TOO_LOW
            : ErrorKind.BACKEND_FAILED,
        "no replica is left for " + String.join(", ", best.missing()));
    return true;
  }

  private boolean finishIfSettled() {
    if (!finished && plan.isSettled()) {
      finishWithAnswer(plan.coverage());
    }
    return finished;
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    Coverage coverage = plan.coverage();
    if (coverage.shardsAnswered() > 0 && coverage.fraction() >= kind.minimumCoverage()) {
      finishWithAnswer(coverage);
    } else {
      finishWithError(
          ErrorKind.DEADLINE_EXCEEDED,
          "no answer in time from " + String.join(", ", coverage.missing()));
    }
  }

  private void finishWithAnswer(Coverage coverage) {
    Optional<BackendReply> single =
        kind.operation().isSingleShard() ? plan.shards().get(0).reply() : Optional.empty();
    QueryAnswer answer =
        new QueryAnswer(
            request.requestId(),
            kind.name(),
            kind.layout().id(),
            single.isPresent() ? single.get().snapshot() : plan.snapshot(),
            coverage,
            ResultMerger.merge(
                plan.shards().stream().flatMap(p -> p.reply().stream()).map(BackendReply::hits),
                request.limit()),
            single.flatMap(BackendReply::document));
    dispatcher.counters().onAnswer(coverage.fraction() < 1.0);
    finish(Either.right(answer));
  }

  private void finishWithError(ErrorKind errorKind, String detail) {
    int outstanding = plan.shards().stream().mapToInt(p -> p.outstanding().size()).sum();
    Executed executed = evidence.conclude(outstanding);
    Duration retryAfter = dispatcher.retryAfter();
    finish(Either.left(new QueryError(errorKind, detail, executed, Optional.of(retryAfter))));
  }

  private void finish(Either<QueryError, QueryAnswer> outcome) {
    finished = true;
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    abandonPlan();
    if (outcome.isLeft()) {
      dispatcher.counters().onError();
    }
    dispatcher.onFinished(this);
    sink.accept(outcome);
  }

  /**
   * Settles every shard, then cancels its attempts. In this order, the room freed by the cancelled
   * attempts goes to other queries and not to shards of this one. Attempts without an outcome are
   * recorded as possible runs.
   */
  private void abandonPlan() {
    plan.shards().forEach(ShardProgress::onLost);
    for (ShardProgress progress : plan.shards()) {
      if (!progress.outstanding().isEmpty()) {
        evidence.recordPossibleRun();
      }
      dispatcher.cancelOutstanding(progress, Long.MAX_VALUE);
    }
  }
}

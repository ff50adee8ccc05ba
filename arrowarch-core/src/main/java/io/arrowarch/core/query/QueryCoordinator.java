package io.arrowarch.core.query;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.core.replica.ReplicaTable;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.core.topology.QueryKind;
import io.arrowarch.core.topology.Selection;
import io.arrowarch.core.wire.BackendReply;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Runs the queries of one router. Not thread-safe: the owner must serialise all calls and the
 * timers. Sinks are called from within them.
 */
public final class QueryCoordinator {
  private final RouterClock clock;
  private final TimerQueue timers;
  private final HedgePolicy hedgePolicy;
  private final QueryCounters counters = new QueryCounters();
  private final AttemptDispatcher dispatcher;
  private final QueryPlanner planner;
  private final AdmissionControl admission;
  private final Map<String, KindState> kindStates = new HashMap<>();

  /**
   * Creates a coordinator without a configuration.
   *
   * @param maximumQueries a query that brings the number in progress to this value is refused, so
   *     at most one fewer run
   */
  public QueryCoordinator(
      NodeIdentity identity,
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      ReplicaTable replicas,
      AttemptTransport transport,
      HedgePolicy hedgePolicy,
      ServingPermit permit,
      int maximumQueries) {
    this.clock = clock;
    this.timers = timers;
    this.hedgePolicy = hedgePolicy;
    this.dispatcher =
        new AttemptDispatcher(
            identity, clock, random, replicas, transport, hedgePolicy, permit, counters);
    this.planner = new QueryPlanner(identity.zone(), replicas);
    this.admission = new AdmissionControl(dispatcher, maximumQueries);
  }

  /** Applies a configuration to new queries. Queries in progress keep theirs. */
  public void reconfigure(Configuration configuration) {
    planner.reconfigure(configuration);
    kindStates.keySet().retainAll(configuration.kinds().keySet());
    for (QueryKind kind : configuration.kinds().values()) {
      kindStates.merge(
          kind.name(),
          KindState.create(kind.hedgeBudget()),
          (known, fresh) -> known.withBudget(kind.hedgeBudget()));
    }
  }

  /** The configuration that applies to new queries. */
  public Optional<Configuration> configuration() {
    return planner.configuration();
  }

  /** The back ends that the rules of a kind select now. */
  public Selection select(QueryKind kind) {
    return planner.select(kind, clock.wallTime());
  }

  /**
   * Runs a query.
   *
   * @param arrivalNanos when the request was received; its deadline is counted from then
   * @param sink receives the outcome exactly once, possibly before this method returns
   */
  public void submit(
      QueryRequest request, long arrivalNanos, Consumer<Either<QueryError, QueryAnswer>> sink) {
    counters.onQuery();
    Either<QueryError, QueryKind> kind = findKind(request);
    if (kind.isLeft()) {
      counters.onError();
      sink.accept(Either.left(kind.getLeft()));
      return;
    }
    run(createExecution(request, arrivalNanos, kind.get(), sink));
  }

  /** Handles a reply. A reply to an attempt that is not outstanding is counted and dropped. */
  public void onReply(String attemptId, BackendReply reply) {
    dispatcher.onReply(attemptId, reply);
  }

  /** Handles the failure of an attempt. */
  public void onFailure(String attemptId, AttemptFailure failure) {
    dispatcher.onFailure(attemptId, failure);
  }

  /**
   * Whether an attempt may still be written. The transport calls this immediately before it writes,
   * because the process may have been suspended since the attempt was started. If the result is
   * false, the transport reports {@link AttemptFailure#NOT_WRITTEN}.
   */
  public boolean mayWrite(String attemptId) {
    return dispatcher.mayWrite(attemptId);
  }

  /**
   * How long a refused caller should wait before it retries. The duration is random, so that
   * callers refused together do not retry together.
   */
  public Duration retryAfter() {
    return dispatcher.retryAfter();
  }

  /** Number of queries in progress. */
  public int inProgress() {
    return dispatcher.executions().size();
  }

  /** Counters since the router started. */
  public QueryCounters counters() {
    return counters;
  }

  private Either<QueryError, QueryKind> findKind(QueryRequest request) {
    if (planner.configuration().isEmpty()) {
      return refuse(ErrorKind.NO_CONFIGURATION, "this node holds no configuration yet");
    }
    Optional<QueryKind> kind = planner.configuration().get().kind(request.kind());
    if (kind.isEmpty()) {
      return refuse(ErrorKind.UNKNOWN_KIND, "no query kind is named '" + request.kind() + "'");
    }
    if (kind.get().operation().isSingleShard() && request.key().isEmpty()) {
      return refuse(ErrorKind.MALFORMED_REQUEST, "kind '" + request.kind() + "' needs a key");
    }
    return Either.right(kind.get());
  }

  private QueryExecution createExecution(
      QueryRequest request,
      long arrivalNanos,
      QueryKind kind,
      Consumer<Either<QueryError, QueryAnswer>> sink) {
    KindState state = kindStates.get(kind.name());
    long timeoutNanos =
        request
            .deadline()
            .filter(wanted -> wanted.compareTo(kind.deadline()) < 0)
            .orElse(kind.deadline())
            .toNanos();
    return new QueryExecution(
        dispatcher,
        planner,
        timers,
        request,
        kind,
        select(kind),
        state,
        hedgePolicy.delayNanos(state.latencies(), timeoutNanos),
        arrivalNanos + timeoutNanos,
        sink);
  }

  private void run(QueryExecution execution) {
    long nowNanos = clock.nanoTime();
    execution.prepare(nowNanos);
    dispatcher.onStarted(execution);
    if (select(execution.kind()).byShard().isEmpty()) {
      execution.refuse(
          QueryError.of(
              ErrorKind.NOTHING_SELECTED, "no selector chooses a back end for this kind now"));
    } else if (!admission.admits(execution, nowNanos)) {
      execution.refuse(
          QueryError.of(ErrorKind.OVERLOADED, "the back ends have no room within the deadline")
              .withRetryAfter(dispatcher.retryAfter()));
    } else {
      execution.start(nowNanos);
    }
  }

  private static <T> Either<QueryError, T> refuse(ErrorKind kind, String detail) {
    return Either.left(QueryError.of(kind, detail));
  }
}

package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.forward.PartProgress.OpenAttempt;
import io.arrowarch.core.intake.NewWork;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.server.ServerState;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Runs one request from its admission to its final answer. */
final class ForwardExecution implements ForwardHandle {
  /**
   * A part is given up instead of being sent if less time is left until the attempt deadline: the
   * network round trip alone takes this long.
   */
  private static final long MINIMUM_TIME_LEFT_NANOS = 3_000_000;

  private final ForwardedRequest request;
  private final Route route;
  private final RouteState routeState;
  private final long version;
  private final RequestTimes times;
  private final ImmutableList<PartProgress> parts;
  private final PartTally tally;
  private final AttemptSender sender;
  private final Delegator delegator;
  private final RequestMonitor monitor;
  private final PostponedParts postponed;
  private final RequestsInProgress inProgress;
  private final TimerLateness lateness;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final RequestLog log;
  private final NewWork newWork;
  private final WorkQueue work;
  private final Consumer<Either<QueryError, ForwardedAnswer>> callback;
  private final Hedging hedging;
  private final DelegatedParts delegatedParts;
  private final List<TimerQueue.Timer> ownTimers = new ArrayList<>();
  private Runnable onEnd = () -> {};
  private boolean started;
  private boolean finished;
  private boolean pastObjective;

  ForwardExecution(
      ForwardedRequest request,
      Route route,
      RouteState routeState,
      long version,
      RequestTimes times,
      ImmutableList<PartProgress> parts,
      AttemptSender sender,
      Delegator delegator,
      RequestMonitor monitor,
      RequestsInProgress inProgress,
      TimerLateness lateness,
      RouterClock clock,
      TimerQueue timers,
      EventLog events,
      NewWork newWork,
      WorkQueue work,
      Consumer<Either<QueryError, ForwardedAnswer>> callback) {
    this.request = request;
    this.route = route;
    this.routeState = routeState;
    this.version = version;
    this.times = times;
    this.parts = parts;
    this.tally =
        new PartTally(
            parts, route.target() instanceof RouteTarget.AllShards all ? all.minimumParts() : 1);
    this.sender = sender;
    this.delegator = delegator;
    this.monitor = monitor;
    this.postponed = new PostponedParts(parts, monitor);
    this.inProgress = inProgress;
    this.lateness = lateness;
    this.clock = clock;
    this.timers = timers;
    this.log = new RequestLog(request, route, version, times, monitor, clock, events);
    this.newWork = newWork;
    this.work = work;
    this.callback = callback;
    this.delegatedParts = new DelegatedParts(this, parts);
    this.hedging =
        new Hedging(
            this, route, routeState, times.objectiveNanos(), parts, sender, clock, timers, newWork);
  }

  /** Sets an action that runs once, after the final answer or the cancellation. */
  void onEnd(Runnable action) {
    onEnd = action;
  }

  ForwardedRequest request() {
    return request;
  }

  boolean isFinished() {
    return finished;
  }

  /** Whether attempts may have been sent. */
  boolean isStarted() {
    return started;
  }

  /**
   * Whether the request can be answered now and its objective has not passed. Without {@link
   * Mechanism#PARTIAL_ANSWERS} the objective is not watched and never counts as passed.
   */
  boolean isInTime() {
    return !pastObjective && hasMinimumCoverage();
  }

  /** Whether enough parts are answered for the minimum coverage. */
  boolean hasMinimumCoverage() {
    return tally.hasMinimum();
  }

  /** Priority under overload; 0 is the highest. */
  int priority() {
    return route.priority();
  }

  /** The caller's tenant; empty for a caller without one. */
  String tenant() {
    return request.caller().tenant().orElse("");
  }

  Duration objective() {
    return route.objective();
  }

  /** Time from the arrival until the latest time at which the caller gets its final answer. */
  Duration responseTimeout() {
    return Duration.ofNanos(times.responseDeadlineNanos() - times.arrivalNanos());
  }

  /** How long attempts of this route usually take, and how strongly its own zone is preferred. */
  SelectionCriteria selectionCriteria() {
    return SelectionCriteria.of(
        routeState.expectedNanos(route),
        route.objective(),
        sender.options().has(Mechanism.OWN_ZONE_FIRST));
  }

  /**
   * When servers should stop, on the router's monotonic clock. Answers to parts of a search are of
   * no use much later than the objective; the server of any other request may work until the
   * response deadline.
   */
  long attemptDeadlineNanos() {
    return times.attemptDeadlineNanos();
  }

  RequestLog log() {
    return log;
  }

  void recordLatency(long nanos, long nowNanos) {
    routeState.latencies().record(nanos, nowNanos);
  }

  /** Begins the request once the router has handled what has arrived. */
  void start() {
    started = true;
    ownTimers.add(timers.schedule(times.responseDeadlineNanos(), this::onResponseDeadline));
    if (isSearch()) {
      ownTimers.add(timers.schedule(times.attemptDeadlineNanos(), this::onAttemptDeadline));
    }
    if (sender.options().has(Mechanism.PARTIAL_ANSWERS)) {
      ownTimers.add(timers.schedule(times.objectiveNanos(), this::onObjective));
    }
    newWork.add(this::begin, this::isFinished);
  }

  /**
   * Delegates parts to other routers and sends first attempts of the rest, or refuses the request.
   */
  private void begin() {
    if (route.target() instanceof RouteTarget.AllShards search) {
      delegate(search.services());
    }
    List<PartProgress> own = parts.stream().filter(part -> !part.isDelegated()).toList();
    // A gatherer that runs delegated parts may know servers that this router does not.
    if (own.size() == parts.size() && tally.isBelowMinimum(reachableParts())) {
      finishWithError(ErrorKind.NOTHING_SELECTED, "too few services have a usable server");
      return;
    }
    startFirst(own);
  }

  /**
   * Whether attempts may still be sent: since the admission the caller's API key may have been
   * revoked, the router's view may have become too old, or servers that ran the request may have
   * crashed.
   */
  boolean mayRun() {
    return monitor.mayRun();
  }

  /** Monitor of whether the request crashes servers. */
  RequestMonitor monitor() {
    return monitor;
  }

  /** Delegates parts to other routers where that helps. */
  void delegate(ImmutableList<String> shards) {
    if (!mayRun()) {
      return;
    }
    delegatedParts.delegate(
        delegator,
        new Delegator.Search(request, route, version, times, shards, monitor.isAnswered()));
  }

  /** Sends the first attempts of parts that this router runs itself, and then starts hedging. */
  void startFirst(List<PartProgress> first) {
    newWork.add(new FirstAttempts(this, hedging, first));
  }

  void startFirstAttempt(PartProgress part) {
    sender.budgets().onRequest(part.service(), clock.nanoTime());
    startPart(part);
  }

  /**
   * Counts parts that other routers have answered or lost, and finishes the request if possible.
   */
  void onPartsEnded(int answered, int lost) {
    tally.onAnswered(answered);
    tally.onLost(lost);
    finishIfPossible("every part is answered or lost");
  }

  private int reachableParts() {
    int reachable = 0;
    for (PartProgress part : parts) {
      if (!sender.usable(part).isEmpty()) {
        reachable++;
      }
    }
    return reachable;
  }

  /** Latest time at which the caller gets its final answer, on the router's monotonic clock. */
  long responseDeadlineNanos() {
    return times.responseDeadlineNanos();
  }

  /** Refuses the request if no server can have run it. */
  void refuseIfNotRun() {
    if (!finished && tally.isProvenNotRun()) {
      finishWithError(ErrorKind.DRAINING, RequestsInProgress.STOP_REASON);
    }
  }

  /** Gives the final answer now, from what servers have answered so far. */
  void endEarly() {
    if (finished) {
      return;
    }
    if (tally.hasMinimum()) {
      finishWithAnswer(RequestsInProgress.STOP_REASON);
    } else if (serverFailure().isPresent()) {
      finishWithoutMinimum();
    } else {
      finishWithError(ErrorKind.DRAINING, RequestsInProgress.STOP_REASON);
    }
  }

  /** Refuses a request that has not been started. */
  void refuse(String detail, Duration retryAfter) {
    finish(
        "refused",
        ErrorKind.OVERLOADED.wireName(),
        detail,
        Either.left(QueryError.of(ErrorKind.OVERLOADED, detail).withRetryAfter(retryAfter)));
  }

  /** Cancels the attempts of a request whose caller has disconnected. */
  @Override
  public void cancel() {
    if (finished) {
      return;
    }
    close("cancelled", "", "the caller has gone");
    parts.forEach(sender::cancelAll);
    delegatedParts.cancel();
    onEnd.run();
  }

  @Override
  public boolean mayHaveRun() {
    return !tally.isProvenNotRun();
  }

  /** Starts a part that waited for a free connection. */
  void startWaitingPart(PartProgress part) {
    startPart(part);
  }

  void onReply(PartProgress part, OpenAttempt attempt, ServerReply reply) {
    if (!finished && !part.isSettled()) {
      handleReply(part, attempt, reply);
    }
    settlePostponed();
  }

  private void settlePostponed() {
    if (!finished) {
      postponed.settle(this::startLater, this::giveUp);
    }
  }

  private void handleReply(PartProgress part, OpenAttempt attempt, ServerReply reply) {
    if (reply.isSuccess()) {
      part.onAnswer(reply);
      tally.onAnswered(1);
      finishIfPossible("every part is answered or lost");
      return;
    }
    boolean signedResult = !reply.notRun() && !reply.misdirected() && reply.signature().isPresent();
    if (signedResult) {
      part.onServerFailure(reply);
    }
    if (signedResult && !reply.isServerFailure() && !isSearch()) {
      part.onAnswer(reply);
      tally.onAnswered(1);
      finishIfPossible("the server refused the request");
      return;
    }
    String outcome = reply.misdirected() ? "misdirected" : reply.notRun() ? "not-run" : "failure";
    handleFailedAttempt(
        part, attempt, outcome, reply.status(), !reply.notRun() && !reply.misdirected());
  }

  void onFailure(PartProgress part, OpenAttempt attempt, ServerFailure failure) {
    if (!finished && !part.isSettled()) {
      if (failure == ServerFailure.BROKEN || failure == ServerFailure.GARBLED) {
        part.onAnswerLost(attempt.attempt().server().id());
      }
      handleFailedAttempt(part, attempt, failure.logName(), 0, failure.mayHaveRun());
    } else {
      log.attemptFailed(
          part, attempt, failure.logName(), 0, RouterEvent.AttemptFailed.REQUEST_IS_OVER);
    }
    settlePostponed();
  }

  private void startLater(PartProgress part) {
    newWork.add(() -> startPart(part), () -> finished || part.isSettled());
  }

  private void startPart(PartProgress part) {
    if (times.attemptDeadlineNanos() - clock.nanoTime() < MINIMUM_TIME_LEFT_NANOS) {
      giveUp(part);
      return;
    }
    if (!inProgress.mayStart(times.responseDeadlineNanos()) && tally.isProvenNotRun()) {
      refuseIfNotRun();
      return;
    }
    if (!mayRun()) {
      if (!postponed.tryPostpone(part)) {
        giveUp(part);
      }
      return;
    }
    Optional<ServerState> server = chooseFor(part);
    if (server.isPresent()) {
      AttemptPurpose purpose = part.sent() == 0 ? AttemptPurpose.FIRST : AttemptPurpose.RETRY;
      sender.send(this, part, server.get(), purpose);
    } else if (sender.hasUntriedServer(part)) {
      sender.awaitConnection(this, part);
    } else {
      giveUp(part);
    }
  }

  /**
   * Chooses an untried server or, if the part may already have run as often as the route allows, a
   * server whose answer was lost.
   */
  private Optional<ServerState> chooseFor(PartProgress part) {
    return part.possibleRuns() < route.maximumAttempts()
        ? sender.choose(part, selectionCriteria())
        : sender.chooseAmongLostAnswers(part, selectionCriteria());
  }

  private void handleFailedAttempt(
      PartProgress part, OpenAttempt attempt, String outcome, int status, boolean mayHaveRun) {
    AfterFailure next =
        AfterFailure.of(part, mayHaveRun, route, selectionCriteria(), sender, clock.nanoTime());
    log.attemptFailed(part, attempt, outcome, status, next.logName());
    if (next == AfterFailure.RETRY) {
      startLater(part);
    } else if (next != AfterFailure.WAIT) {
      giveUp(part);
    }
  }

  private void giveUp(PartProgress part) {
    part.onLost();
    tally.onLost(1);
    finishIfPossible("every part is answered or lost");
  }

  private void finishIfPossible(String reason) {
    if (finished) {
      return;
    }
    if (tally.cannotReachMinimum()) {
      finishWithoutMinimum();
    } else if (tally.isSettled() || (pastObjective && tally.hasMinimum())) {
      finishWithAnswer(pastObjective ? "past the objective" : reason);
    }
  }

  private void onObjective() {
    if (finished) {
      return;
    }
    lateness.record(clock.nanoTime() - Math.max(times.objectiveNanos(), times.arrivalNanos()));
    pastObjective = true;
    if (tally.hasMinimum()) {
      finishWithAnswer("the objective is due");
    }
  }

  /**
   * Gives up parts that still wait for a connection or for a suspicion of the request to clear:
   * they can no longer be answered in time.
   */
  private void onAttemptDeadline() {
    for (PartProgress part : parts) {
      if (!finished && part.isWaiting()) {
        giveUp(part);
      }
    }
  }

  private void onResponseDeadline() {
    if (!finished) {
      finishWithError(ErrorKind.DEADLINE_EXCEEDED, "no answer in time");
    }
  }

  private void finishWithAnswer(String reason) {
    ForwardedAnswer answer = isSearch() ? merged() : serverAnswer();
    finish(tally.missing() > 0 ? "partial" : "answered", "", reason, Either.right(answer));
  }

  private ForwardedAnswer serverAnswer() {
    return new ForwardedAnswer.FromServer(parts.get(0).answer().orElseThrow());
  }

  private ForwardedAnswer merged() {
    int limit = ((RouteTarget.AllShards) route.target()).limit();
    return PartMerger.merge(parts, delegatedParts.answers(), tally.missing(), limit);
  }

  private void finishWithoutMinimum() {
    Optional<ServerReply> failure = serverFailure();
    if (failure.isPresent()) {
      ForwardedAnswer answer = new ForwardedAnswer.FromServer(failure.get());
      finish("failed", "", "the server's error response is passed on", Either.right(answer));
    } else if (monitor.isSuspected()) {
      finishWithError(ErrorKind.ENDS_SERVERS, "servers that ran this request have ended");
    } else if (!mayRun()) {
      finishWithError(ErrorKind.NOT_CONFIRMED, "the key may have been revoked meanwhile");
    } else if (isSearch()) {
      finishWithError(ErrorKind.COVERAGE_TOO_LOW, "too many shards have no server that answers");
    } else {
      finishWithError(ErrorKind.BACKEND_FAILED, "no server answered");
    }
  }

  /** The error response of the only server; a search passes on none. */
  private Optional<ServerReply> serverFailure() {
    return isSearch() ? Optional.empty() : parts.get(0).failure();
  }

  private void finishWithError(ErrorKind kind, String detail) {
    Executed executed = tally.isProvenNotRun() ? Executed.NO : Executed.UNKNOWN;
    Optional<Duration> retryAfter =
        kind.retryable() ? Optional.of(retryAfter(kind)) : Optional.empty();
    QueryError error = new QueryError(kind, detail, executed, retryAfter);
    String outcome = executed == Executed.NO ? "refused" : "failed";
    finish(outcome, kind.wireName(), detail, Either.left(error));
  }

  private Duration retryAfter(ErrorKind kind) {
    return kind == ErrorKind.DRAINING ? RequestsInProgress.RETRY_AFTER_STOP : times.retryAfter();
  }

  private void deliver(Either<QueryError, ForwardedAnswer> outcome) {
    callback.accept(outcome);
    onEnd.run();
  }

  /**
   * Closes the request and gives the final answer, even if closing fails. The answer is a task that
   * runs after the start of requests that wait for the freed connections, so that a caller that
   * sends its next request at once does not overtake them.
   */
  private void finish(
      String outcome,
      String error,
      String reason,
      Either<QueryError, ForwardedAnswer> finalAnswer) {
    try {
      close(outcome, error, reason);
    } finally {
      work.execute(() -> deliver(finalAnswer));
    }
  }

  private void close(String outcome, String error, String reason) {
    finished = true;
    inProgress.remove(this);
    ownTimers.forEach(TimerQueue.Timer::cancel);
    ownTimers.clear();
    hedging.stop();
    log.ended(outcome, error, reason, tally);
    if (!isSearch()) {
      // Attempts at a single server may run long, so they are cancelled, which closes their
      // connections. Those of a search end soon, and closing their connections would cost more
      // than letting them end.
      parts.forEach(sender::cancelAll);
    }
  }

  /** Whether the answer is merged from several shards. */
  boolean isSearch() {
    return route.target() instanceof RouteTarget.AllShards;
  }
}

package io.arrowarch.core.forward;

import io.arrowarch.core.intake.NewWork;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.server.ServerState;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.util.List;
import java.util.Optional;

/** Sends second attempts for the slow parts of one request. */
final class Hedging {
  /** After a hedge is denied, the part is checked again after the hedge delay divided by this. */
  private static final int RECHECKS_PER_DELAY = 4;

  private static final long MINIMUM_RECHECK_NANOS = 2_000_000;

  /**
   * No hedge is sent while fewer parts of a search are answered than this fraction of its started
   * parts: the router itself or the network to all servers is then slow, and hedges would add load.
   * A part is started when this router has sent an attempt for it; parts answered by delegates
   * count as answered.
   */
  private static final double MINIMUM_ANSWERED_FRACTION = 0.5;

  /**
   * With fewer started parts, they cannot be compared to tell whether only some of them are slow,
   * and hedges are sent regardless of {@link #MINIMUM_ANSWERED_FRACTION}.
   */
  private static final int MINIMUM_PARTS_TO_COMPARE = 4;

  private final ForwardExecution execution;
  private final Route route;
  private final RouteState routeState;
  private final long objectiveNanos;
  private final List<PartProgress> parts;
  private final AttemptSender sender;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final NewWork newWork;
  private Optional<TimerQueue.Timer> nextCheck = Optional.empty();

  /**
   * Prepares hedging.
   *
   * @param objectiveNanos when the answer becomes late, on the router's monotonic clock; after it,
   *     hedges are sent only while the minimum coverage is missing
   */
  Hedging(
      ForwardExecution execution,
      Route route,
      RouteState routeState,
      long objectiveNanos,
      List<PartProgress> parts,
      AttemptSender sender,
      RouterClock clock,
      TimerQueue timers,
      NewWork newWork) {
    this.execution = execution;
    this.route = route;
    this.routeState = routeState;
    this.objectiveNanos = objectiveNanos;
    this.parts = parts;
    this.sender = sender;
    this.clock = clock;
    this.timers = timers;
    this.newWork = newWork;
  }

  /**
   * Schedules the first check after the hedge delay. Called again when this router starts parts
   * that another router has declined.
   */
  void start() {
    boolean useless = !route.repeatable() || route.maximumAttempts() < 2;
    if (!useless && sender.options().has(Mechanism.HEDGES)) {
      scheduleCheck(clock.nanoTime() + routeState.hedgeDelayNanos(route));
    }
  }

  /** Cancels the next check. */
  void stop() {
    nextCheck.ifPresent(TimerQueue.Timer::cancel);
  }

  private void scheduleCheck(long dueNanos) {
    stop();
    if (dueNanos < objectiveNanos || !execution.hasMinimumCoverage()) {
      nextCheck = Optional.of(timers.schedule(dueNanos, this::checkLater));
    }
  }

  private void checkLater() {
    newWork.add(this::check, execution::isFinished);
  }

  private void check() {
    long nowNanos = clock.nanoTime();
    long delay = routeState.hedgeDelayNanos(route);
    long recheck = Math.max(delay / RECHECKS_PER_DELAY, MINIMUM_RECHECK_NANOS);
    if (areTooFewAnswered()) {
      scheduleCheck(nowNanos + recheck);
      return;
    }
    long next = Long.MAX_VALUE;
    for (PartProgress part : parts) {
      if (part.isSettled() || part.open().size() != 1) {
        continue;
      }
      long due = part.open().get(0).startNanos() + delay;
      if (due <= nowNanos) {
        boolean hedged = hedge(part, nowNanos);
        due = hedged ? Long.MAX_VALUE : nowNanos + recheck;
      }
      next = Math.min(next, due);
    }
    if (next != Long.MAX_VALUE) {
      scheduleCheck(next);
    }
  }

  private boolean areTooFewAnswered() {
    int started = 0;
    int answered = 0;
    for (PartProgress part : parts) {
      started += part.sent() > 0 ? 1 : 0;
      answered += part.isAnswered() ? 1 : 0;
    }
    return started >= MINIMUM_PARTS_TO_COMPARE && answered < MINIMUM_ANSWERED_FRACTION * started;
  }

  private boolean hedge(PartProgress part, long nowNanos) {
    if (!execution.mayRun()) {
      return part.denyHedge("the key may have been revoked");
    }
    if (part.possibleRuns() >= route.maximumAttempts()) {
      return part.denyHedge("no attempt left");
    }
    Optional<ServerState> server = sender.choose(part, execution.selectionCriteria());
    if (server.isEmpty()) {
      return part.denyHedge("no other server");
    }
    if (server.get().stalledNanos(nowNanos) > 0) {
      return part.denyHedge("the other server is stalled");
    }
    if (!server.get().hasRoomForHedge(nowNanos)) {
      return part.denyHedge("the other server is busy");
    }
    if (!sender.budgets().tryHedge(part.service(), nowNanos)) {
      return part.denyHedge("no budget");
    }
    sender.send(execution, part, server.get(), AttemptPurpose.HEDGE);
    return true;
  }
}

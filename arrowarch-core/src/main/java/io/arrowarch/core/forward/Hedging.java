package io.arrowarch.core.forward;

import io.arrowarch.core.route.Route;
import io.arrowarch.core.server.ServerState;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.util.List;
import java.util.Optional;

/** Second attempts for parts of one request that take long. */
final class Hedging {
  /** A part that could not get a second attempt is looked at again after this part of the delay. */
  private static final int RECHECKS = 4;

  private static final long SHORTEST_RECHECK_NANOS = 2_000_000;

  /**
   * With fewer than this part of a search's answers in, it is this router or the way to all servers
   * that is late, and second attempts would make it later.
   */
  private static final double LEAST_ANSWERED = 0.5;

  /** With fewer parts the others say nothing of one. */
  private static final int FEWEST_PARTS_TO_COMPARE = 4;

  private final ForwardExecution execution;
  private final Route route;
  private final RouteState routeState;
  private final long objectiveNanos;
  private final List<PartProgress> parts;
  private final AttemptSender sender;
  private final RouterClock clock;
  private final TimerQueue timers;
  private Optional<TimerQueue.Timer> nextCheck = Optional.empty();

  /**
   * Prepares hedging.
   *
   * @param objectiveNanos after which an answer is late, and second attempts are of use only to one
   *     that could not be given without them
   */
  Hedging(
      ForwardExecution execution,
      Route route,
      RouteState routeState,
      long objectiveNanos,
      List<PartProgress> parts,
      AttemptSender sender,
      RouterClock clock,
      TimerQueue timers) {
    this.execution = execution;
    this.route = route;
    this.routeState = routeState;
    this.objectiveNanos = objectiveNanos;
    this.parts = parts;
    this.sender = sender;
    this.clock = clock;
    this.timers = timers;
  }

  /** Begins when the first attempts have been sent, or begins anew when more have. */
  void start() {
    boolean useless = !route.repeatable() || route.maximumAttempts() < 2;
    if (!useless && sender.options().has(Mechanism.HEDGES)) {
      scheduleCheck(clock.nanoTime() + routeState.hedgeDelayNanos(route));
    }
  }

  /** Ends: no more attempts are sent. */
  void stop() {
    nextCheck.ifPresent(TimerQueue.Timer::cancel);
  }

  private void scheduleCheck(long dueNanos) {
    stop();
    if (dueNanos < objectiveNanos || !execution.mayBeAnswered()) {
      nextCheck = Optional.of(timers.schedule(dueNanos, this::check));
    }
  }

  private void check() {
    long nowNanos = clock.nanoTime();
    long delay = routeState.hedgeDelayNanos(route);
    long recheck = Math.max(delay / RECHECKS, SHORTEST_RECHECK_NANOS);
    if (areAllLate()) {
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

  private boolean areAllLate() {
    int started = 0;
    int answered = 0;
    for (PartProgress part : parts) {
      started += part.sent() > 0 ? 1 : 0;
      answered += part.isAnswered() ? 1 : 0;
    }
    return started >= FEWEST_PARTS_TO_COMPARE && answered < LEAST_ANSWERED * started;
  }

  private boolean hedge(PartProgress part, long nowNanos) {
    if (!execution.mayRun()) {
      return part.denyHedge("the key may have been taken away");
    }
    if (part.maybeRun() >= route.maximumAttempts()) {
      return part.denyHedge("no attempt left");
    }
    Optional<ServerState> server = sender.choose(part, execution.pace());
    if (server.isEmpty()) {
      return part.denyHedge("no other server");
    }
    if (server.get().stalledNanos(nowNanos) > 0) {
      return part.denyHedge("the other server stands still");
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

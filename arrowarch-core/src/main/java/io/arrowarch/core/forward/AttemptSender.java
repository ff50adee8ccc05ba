package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.server.AttemptVerdict;
import io.arrowarch.core.server.ServerChooser;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.server.ServerState;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/**
 * Starts attempts and follows each to its end, also after nobody waits for it any more: how a
 * server ends it, or that it does not, says what the server is worth.
 */
final class AttemptSender {
  private static final double NANOS_PER_MILLI = 1e6;

  /** A server answers at an attempt's deadline; one that does not within this has fallen silent. */
  private static final long SILENCE_SLACK_NANOS = 40_000_000;

  private static final long NEVER_STALLED_NANOS = Duration.ofDays(1).toNanos();

  private final RouterClock clock;
  private final TimerQueue timers;
  private final ForwardOptions options;
  private final ServerDirectory directory;
  private final ServerChooser chooser;
  private final AttemptBudgets budgets;
  private final ColdServerLimits coldServers;
  private final ServerTransport transport;
  private final EventLog events;
  private final ToIntFunction<String> connectionShare;
  private final Map<Long, Sent> sent = new HashMap<>();
  private final SetMultimap<String, Waiter> waiters = LinkedHashMultimap.create();
  private long nextNumber = 1;

  private record Sent(
      ForwardExecution execution, PartProgress part, PartProgress.OpenAttempt open) {}

  private record Waiter(ForwardExecution execution, PartProgress part) {}

  AttemptSender(
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      ForwardOptions options,
      ServerDirectory directory,
      AttemptBudgets budgets,
      ColdServerLimits coldServers,
      ServerTransport transport,
      EventLog events,
      ToIntFunction<String> connectionShare) {
    this.clock = clock;
    this.timers = timers;
    this.directory = directory;
    this.options = options;
    this.chooser = new ServerChooser(options.zone(), random);
    this.budgets = budgets;
    this.coldServers = coldServers;
    this.transport = transport;
    this.events = events;
    this.connectionShare = connectionShare;
  }

  ForwardOptions options() {
    return options;
  }

  AttemptBudgets budgets() {
    return budgets;
  }

  /** The servers that may take a part now, those that it has tried included. */
  List<ServerState> usable(PartProgress part) {
    long nowNanos = clock.nanoTime();
    List<ServerState> usable = new ArrayList<>();
    for (ServerState server : directory.usable(part.service(), nowNanos)) {
      if (options.allows(part.regions(), server.entry().zone())
          && coldServers.admits(server, nowNanos)) {
        usable.add(server);
      }
    }
    return usable;
  }

  /** The best server for a part that has not been tried and has a connection to spare. */
  Optional<ServerState> choose(PartProgress part, RequestPace pace) {
    int share = connectionShare.applyAsInt(part.service());
    List<ServerState> withRoom = new ArrayList<>();
    for (ServerState server : usable(part)) {
      if (server.openAttempts() < share && !part.hasTried(server)) {
        withRoom.add(server);
      }
    }
    return chooser.choose(withRoom, pace.expectedNanos(), pace.otherZoneNanos(), clock.nanoTime());
  }

  /**
   * The best server among those that have lost their answers to a part, suspended or not. A part
   * that may have run on as many servers as its route allows can still run on one of these: answers
   * lost by reset come by the hundred while the servers behind them are sound, and a search of a
   * hundred shards that gives each of them two tries misses its least coverage.
   */
  Optional<ServerState> chooseAgain(PartProgress part, RequestPace pace) {
    long nowNanos = clock.nanoTime();
    int share = connectionShare.applyAsInt(part.service());
    List<ServerState> withRoom = new ArrayList<>();
    for (ServerState server : directory.available(part.service(), nowNanos)) {
      boolean usable =
          part.mayAskAgain(server)
              && options.allows(part.regions(), server.entry().zone())
              && coldServers.admits(server, nowNanos);
      if (usable && server.openAttempts() < share) {
        withRoom.add(server);
      }
    }
    return chooser.choose(withRoom, pace.expectedNanos(), pace.otherZoneNanos(), nowNanos);
  }

  /** Whether a part's untried servers only lack connections. */
  boolean mayWait(PartProgress part) {
    return usable(part).stream().anyMatch(server -> !part.hasTried(server));
  }

  /** Starts the part as soon as a server of its service has a connection to spare. */
  void awaitRoom(ForwardExecution execution, PartProgress part) {
    part.onWaiting();
    waiters.put(part.service(), new Waiter(execution, part));
  }

  void send(
      ForwardExecution execution, PartProgress part, ServerState server, AttemptPurpose purpose) {
    long nowNanos = clock.nanoTime();
    long number = nextNumber++;
    ServerAttempt attempt =
        new ServerAttempt(
            number,
            server.entry(),
            execution.request(),
            execution.attemptDeadlineNanos(),
            execution.isSearch());
    PartProgress.OpenAttempt open = new PartProgress.OpenAttempt(attempt, purpose, nowNanos);
    logSent(execution, part, server, open, nowNanos);
    sent.put(number, new Sent(execution, part, open));
    part.onSent(open);
    coldServers.onSent(server, nowNanos);
    directory.onStarted(server.id(), number, nowNanos, stallBasis(execution));
    timers.schedule(attempt.deadlineNanos() + SILENCE_SLACK_NANOS, () -> onSilent(number, attempt));
    transport.send(attempt);
  }

  void onReply(long number, ServerReply reply) {
    Sent ended = sent.remove(number);
    if (ended == null) {
      return;
    }
    long nowNanos = clock.nanoTime();
    String server = ended.open().attempt().server().id();
    if (options.has(Mechanism.LOAD_REPORTS)) {
      reply.load().ifPresent(load -> directory.onReport(server, load, nowNanos));
    }
    AttemptVerdict verdict = verdictOf(reply);
    boolean measured = reply.isGood() && options.has(Mechanism.SPEED_MEMORY);
    double relative = measured ? relativeLatency(ended, nowNanos) : 0;
    directory.onEnded(server, number, verdict, relative, nowNanos);
    if (reply.isGood()) {
      ended.execution().recordLatency(nowNanos - ended.open().startNanos(), nowNanos);
    }
    ended.part().onEnded(number, !reply.notRun());
    if (reply.hasRun()) {
      ended.execution().watch().onAnswered();
    }
    ended.execution().onReply(ended.part(), ended.open(), reply);
    startWaiting(ended.part().service());
  }

  void onFailure(long number, ServerFailure failure) {
    Sent ended = sent.remove(number);
    if (ended == null) {
      return;
    }
    long nowNanos = clock.nanoTime();
    String server = ended.open().attempt().server().id();
    directory.onEnded(server, number, verdictOf(failure), 0, nowNanos);
    ended.part().onEnded(number, failure.maybeRun());
    if (failure == ServerFailure.BROKEN) {
      ended.execution().watch().onConnectionBroken(server);
    }
    ended.execution().onFailure(ended.part(), ended.open(), failure);
    startWaiting(ended.part().service());
  }

  /** Makes the servers of a request's open attempts stop. */
  void cancelAll(PartProgress part) {
    for (PartProgress.OpenAttempt open : ImmutableList.copyOf(part.open())) {
      long number = open.attempt().number();
      Sent ended = sent.remove(number);
      if (ended != null) {
        long nowNanos = clock.nanoTime();
        transport.cancel(open.attempt());
        directory.onEnded(open.attempt().server().id(), number, AttemptVerdict.NONE, 0, nowNanos);
        part.onEnded(number, true);
      }
    }
    startWaiting(part.service());
  }

  /** Ends the attempts that are open at a server that has ended. */
  void onServerEnded(String serverId) {
    List<Long> numbers =
        sent.entrySet().stream()
            .filter(entry -> entry.getValue().open().attempt().server().id().equals(serverId))
            .map(Map.Entry::getKey)
            .toList();
    for (long number : numbers) {
      // One that ends may end others of its request.
      if (sent.containsKey(number)) {
        transport.cancel(sent.get(number).open().attempt());
        onFailure(number, ServerFailure.BROKEN);
      }
    }
  }

  private void onSilent(long number, ServerAttempt attempt) {
    if (sent.containsKey(number)) {
      transport.cancel(attempt);
      onFailure(number, ServerFailure.SILENT);
    }
  }

  private void startWaiting(String service) {
    for (Waiter waiter : ImmutableList.copyOf(waiters.get(service))) {
      if (!waiter.part().isWaiting() || waiter.execution().isFinished()) {
        waiters.remove(service, waiter);
      } else if (choose(waiter.part(), waiter.execution().pace()).isPresent()) {
        waiters.remove(service, waiter);
        waiter.execution().startWaitingPart(waiter.part());
      } else {
        return;
      }
    }
  }

  private static double relativeLatency(Sent ended, long nowNanos) {
    double took = nowNanos - ended.open().startNanos();
    return took / Math.max(1, ended.execution().pace().expectedNanos());
  }

  /** The usual length by which a server is told to stand still. */
  private long stallBasis(ForwardExecution execution) {
    return options.has(Mechanism.STALL_DETECTION)
        ? execution.pace().expectedNanos()
        : NEVER_STALLED_NANOS;
  }

  private void logSent(
      ForwardExecution execution,
      PartProgress part,
      ServerState server,
      PartProgress.OpenAttempt open,
      long nowNanos) {
    String requestId = execution.request().id();
    if (open.purpose() == AttemptPurpose.FIRST && !events.isSampled(requestId)) {
      return;
    }
    double reportAge =
        server.report().isPresent() ? server.reportAge(nowNanos).toNanos() / NANOS_PER_MILLI : -1;
    events.log(
        new RouterEvent.AttemptSent(
            requestId,
            open.attempt().number(),
            open.purpose().logName(),
            part.service(),
            server.id(),
            server.load(nowNanos),
            reportAge,
            server.stalledNanos(nowNanos) / NANOS_PER_MILLI,
            server.slowness(nowNanos),
            budgets.left(part.service(), nowNanos),
            execution.log().elapsedMillis(nowNanos),
            execution.log().leftMillis(nowNanos)));
  }

  private static AttemptVerdict verdictOf(ServerReply reply) {
    if (reply.misdirected()) {
      return AttemptVerdict.REPLACED;
    }
    if (reply.notRun()) {
      return AttemptVerdict.SHED;
    }
    return reply.isServerFailure() ? AttemptVerdict.FAILED : AttemptVerdict.ANSWERED;
  }

  private static AttemptVerdict verdictOf(ServerFailure failure) {
    return switch (failure) {
      case UNREACHABLE -> AttemptVerdict.UNREACHABLE;
      case NOT_WRITTEN -> AttemptVerdict.NONE;
      case BROKEN, GARBLED, SILENT -> AttemptVerdict.FAILED;
    };
  }
}

package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.intake.NewWork;
import io.arrowarch.core.server.AttemptVerdict;
import io.arrowarch.core.server.ServerChooser;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.server.ServerState;
import io.arrowarch.core.suspect.SuspectRequests;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/**
 * Sends attempts and tracks each until it ends. Attempts of a search are tracked even when the
 * search has finished: a reply, a failure or silence shows whether the server is healthy.
 */
final class AttemptSender {
  private static final double NANOS_PER_MILLI = 1e6;

  /** A server that has not answered this long after the attempt's deadline counts as silent. */
  private static final long SILENCE_SLACK_NANOS = 40_000_000;

  /** An expected duration so long that no server counts as stalled. */
  private static final long NEVER_STALLED_NANOS = Duration.ofDays(1).toNanos();

  private final RouterClock clock;
  private final TimerQueue timers;
  private final ForwardOptions options;
  private final ServerDirectory directory;
  private final ServerChooser chooser;
  private final AttemptBudgets budgets;
  private final ColdServerLimits coldServers;
  private final ServerTransport transport;
  private final SuspectRequests suspects;
  private final EventLog events;
  private final ToIntFunction<String> connectionShare;
  private final NewWork newWork;
  private final Map<Long, InFlightAttempt> inFlight = new HashMap<>();
  private final SetMultimap<String, WaitingPart> waitingParts = LinkedHashMultimap.create();

  /** Services whose waiting parts will be started. */
  private final Set<String> servicesToStart = new HashSet<>();

  private long nextNumber = 1;

  private record InFlightAttempt(
      ForwardExecution execution,
      PartProgress part,
      PartProgress.OpenAttempt open,
      TimerQueue.Timer silence) {}

  private record WaitingPart(ForwardExecution execution, PartProgress part) {}

  AttemptSender(
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      ForwardOptions options,
      ServerDirectory directory,
      AttemptBudgets budgets,
      ColdServerLimits coldServers,
      ServerTransport transport,
      SuspectRequests suspects,
      EventLog events,
      ToIntFunction<String> connectionShare,
      NewWork newWork) {
    this.clock = clock;
    this.timers = timers;
    this.directory = directory;
    this.options = options;
    this.chooser = new ServerChooser(options.zone(), random);
    this.budgets = budgets;
    this.coldServers = coldServers;
    this.transport = transport;
    this.suspects = suspects;
    this.events = events;
    this.connectionShare = connectionShare;
    this.newWork = newWork;
  }

  ForwardOptions options() {
    return options;
  }

  AttemptBudgets budgets() {
    return budgets;
  }

  /** The servers that may take a part now, including those that it has tried. */
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

  /** The best server that the part has not tried and that has a free connection. */
  Optional<ServerState> choose(PartProgress part, SelectionCriteria selectionCriteria) {
    int share = connectionShare.applyAsInt(part.service());
    List<ServerState> withRoom = new ArrayList<>();
    for (ServerState server : usable(part)) {
      if (server.openAttempts() < share && !part.hasTried(server)) {
        withRoom.add(server);
      }
    }
    return chooser.choose(
        withRoom,
        selectionCriteria.expectedNanos(),
        selectionCriteria.otherZonePenaltyNanos(),
        clock.nanoTime());
  }

  /**
   * The best server among those whose answer to the part was lost, suspended or not. A part that
   * may have run on as many servers as its route allows can still run on one of these. Connection
   * resets can lose hundreds of answers while the servers behind them are healthy. Without further
   * attempts at these servers, a search of a hundred shards with two attempts for each would then
   * miss its minimum coverage.
   */
  Optional<ServerState> chooseAmongLostAnswers(
      PartProgress part, SelectionCriteria selectionCriteria) {
    long nowNanos = clock.nanoTime();
    int share = connectionShare.applyAsInt(part.service());
    List<ServerState> withRoom = new ArrayList<>();
    for (ServerState server : directory.available(part.service(), nowNanos)) {
      boolean usable =
          part.hasLostAnswerOf(server)
              && options.allows(part.regions(), server.entry().zone())
              && coldServers.admits(server, nowNanos);
      if (usable && server.openAttempts() < share) {
        withRoom.add(server);
      }
    }
    return chooser.choose(
        withRoom,
        selectionCriteria.expectedNanos(),
        selectionCriteria.otherZonePenaltyNanos(),
        nowNanos);
  }

  /** Whether the part has an untried server, so that it can wait for a free connection. */
  boolean hasUntriedServer(PartProgress part) {
    return usable(part).stream().anyMatch(server -> !part.hasTried(server));
  }

  /** Starts the part as soon as a server of its service has a free connection. */
  void awaitConnection(ForwardExecution execution, PartProgress part) {
    part.onWaiting();
    waitingParts.put(part.service(), new WaitingPart(execution, part));
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
    TimerQueue.Timer silence =
        timers.schedule(
            attempt.deadlineNanos() + SILENCE_SLACK_NANOS, () -> onSilent(number, attempt));
    inFlight.put(number, new InFlightAttempt(execution, part, open, silence));
    part.onSent(open);
    coldServers.onSent(server, nowNanos);
    directory.onStarted(server.id(), number, nowNanos, stallReferenceNanos(execution));
    transport.send(attempt);
  }

  void onReply(long number, ServerReply reply) {
    InFlightAttempt ended = inFlight.remove(number);
    if (ended == null) {
      return;
    }
    // Held until it is due, it would hold the request and its body.
    ended.silence().cancel();
    long nowNanos = clock.nanoTime();
    String server = ended.open().attempt().server().id();
    if (options.has(Mechanism.LOAD_REPORTS)) {
      reply.load().ifPresent(load -> directory.onReport(server, load, nowNanos));
    }
    AttemptVerdict verdict = verdictOf(reply);
    boolean measured = reply.isSuccess() && options.has(Mechanism.SPEED_MEMORY);
    double relative = measured ? relativeLatency(ended, nowNanos) : 0;
    directory.onEnded(server, number, verdict, relative, nowNanos);
    if (reply.isSuccess()) {
      ended.execution().recordLatency(nowNanos - ended.open().startNanos(), nowNanos);
    }
    ended.part().onEnded(number, !reply.notRun());
    if (reply.showsSurvival()) {
      ended.execution().monitor().onAnswered();
    }
    if (reply.misdirected()) {
      suspects.onServerEnded(server);
    }
    ended.execution().onReply(ended.part(), ended.open(), reply);
    startWaitingParts(ended.part().service());
  }

  void onFailure(long number, ServerFailure failure) {
    InFlightAttempt ended = inFlight.remove(number);
    if (ended == null) {
      return;
    }
    ended.silence().cancel();
    long nowNanos = clock.nanoTime();
    String server = ended.open().attempt().server().id();
    directory.onEnded(server, number, verdictOf(failure), 0, nowNanos);
    ended.part().onEnded(number, failure.mayHaveRun());
    if (failure == ServerFailure.BROKEN) {
      ended.execution().monitor().onConnectionBroken(server, ended.open().startNanos());
    } else if (failure.mayHaveRun()) {
      abandon(ended);
    }
    ended.execution().onFailure(ended.part(), ended.open(), failure);
    startWaitingParts(ended.part().service());
  }

  /** Cancels the part's open attempts. */
  void cancelAll(PartProgress part) {
    for (PartProgress.OpenAttempt open : ImmutableList.copyOf(part.open())) {
      long number = open.attempt().number();
      InFlightAttempt ended = inFlight.remove(number);
      if (ended != null) {
        ended.silence().cancel();
        long nowNanos = clock.nanoTime();
        if (transport.cancel(open.attempt())) {
          abandon(ended);
        }
        directory.onEnded(open.attempt().server().id(), number, AttemptVerdict.NONE, 0, nowNanos);
        part.onEnded(number, true);
      }
    }
    startWaitingParts(part.service());
  }

  private static void abandon(InFlightAttempt attempt) {
    String server = attempt.open().attempt().server().id();
    attempt.execution().monitor().onAttemptAbandoned(server, attempt.open().startNanos());
  }

  /** Fails the open attempts at a server whose process has ended. */
  void onServerEnded(String serverId) {
    for (long number : openAt(serverId)) {
      // The failure of one attempt may cancel others of its request.
      if (inFlight.containsKey(number)) {
        boolean unused = transport.cancel(inFlight.get(number).open().attempt());
        onFailure(number, ServerFailure.BROKEN);
      }
    }
    suspects.onServerEnded(serverId);
  }

  /**
   * Called when the entry of a server has disappeared without notice: it has probably crashed. Open
   * attempts go on, since some servers leave in this way and still answer.
   *
   * @param sinceNanos when it disappeared
   */
  void onServerVanished(String serverId, long sinceNanos) {
    for (long number : openAt(serverId)) {
      InFlightAttempt attempt = inFlight.get(number);
      if (attempt.open().startNanos() < sinceNanos) {
        abandon(attempt);
      }
    }
    suspects.onServerEnded(serverId);
  }

  private List<Long> openAt(String serverId) {
    return inFlight.entrySet().stream()
        .filter(entry -> entry.getValue().open().attempt().server().id().equals(serverId))
        .map(Map.Entry::getKey)
        .toList();
  }

  private void onSilent(long number, ServerAttempt attempt) {
    if (inFlight.containsKey(number)) {
      boolean unused = transport.cancel(attempt);
      onFailure(number, ServerFailure.SILENT);
    }
  }

  /**
   * Starts parts that wait for a connection, once the router has handled what has arrived: the
   * callers of some may have left.
   */
  private void startWaitingParts(String service) {
    if (waitingParts.containsKey(service) && servicesToStart.add(service)) {
      newWork.add(
          () -> {
            servicesToStart.remove(service);
            startWaitingPartsNow(service);
          },
          () -> false);
    }
  }

  private void startWaitingPartsNow(String service) {
    for (WaitingPart waiting : ImmutableList.copyOf(waitingParts.get(service))) {
      if (!waiting.part().isWaiting() || waiting.execution().isFinished()) {
        waitingParts.remove(service, waiting);
      } else if (choose(waiting.part(), waiting.execution().selectionCriteria()).isPresent()) {
        waitingParts.remove(service, waiting);
        waiting.execution().startWaitingPart(waiting.part());
      } else {
        return;
      }
    }
  }

  private static double relativeLatency(InFlightAttempt ended, long nowNanos) {
    double took = nowNanos - ended.open().startNanos();
    return took / Math.max(1, ended.execution().selectionCriteria().expectedNanos());
  }

  /**
   * Expected duration of an attempt; a server counts as stalled if an attempt is open for much
   * longer.
   */
  private long stallReferenceNanos(ForwardExecution execution) {
    return options.has(Mechanism.STALL_DETECTION)
        ? execution.selectionCriteria().expectedNanos()
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

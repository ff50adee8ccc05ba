package io.arrowarch.core.suspect;

import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerGroup;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The requests that servers were running when they recently crashed, as reported by this router and
 * others.
 *
 * <p>Load patterns that it is built for:
 *
 * <ul>
 *   <li>One request crashes every server that runs it and is resubmitted to any router. Its next
 *       arrival reaches one server, later arrivals reach none.
 *   <li>A rack loses power under load. A request that was in flight is cleared by the first answer
 *       to any of its parts; otherwise it is sent to one server as a canary when it is resubmitted.
 * </ul>
 */
public final class SuspectRequests {
  private static final double NANOS_PER_MILLI = 1e6;
  private static final Duration EVICTION_INTERVAL = Duration.ofSeconds(10);

  private final String ownId;
  private final SuspectRules rules;
  private final ResponsibleRouters responsible;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final EventLog events;
  private final SuspectGossip gossip;
  private final SuspectTable records;
  private final UnresolvedAttempts unresolved = new UnresolvedAttempts();
  private long refused;

  /** What to do with an arriving request. */
  public enum Admission {
    /** It runs like any other. */
    RUN,
    /** It is sent to one server, and {@link #onCanaryEnded} is called when that has finished. */
    CANARY,
    /** It is sent to no server. */
    REFUSE
  }

  /** Creates a tracker that knows no requests. */
  public SuspectRequests(
      String ownId,
      SuspectRules rules,
      PeerGroup peers,
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      EventLog events) {
    this.ownId = ownId;
    this.rules = rules;
    this.responsible = new ResponsibleRouters(ownId, peers);
    this.clock = clock;
    this.timers = timers;
    this.events = events;
    this.records = new SuspectTable(rules.maximumRequests());
    this.gossip =
        new SuspectGossip(peers, responsible, clock, timers, random, this::report, records::held);
  }

  /**
   * Asks other routers for their suspected requests, several times in the next seconds: the first
   * peers may have just started too.
   */
  public void start() {
    gossip.start();
  }

  /** Whether there is no record of any request. Then requests need no key. */
  public boolean isEmpty() {
    return records.isEmpty();
  }

  /** Returns how many requests are suspected or quarantined. */
  public long count() {
    return records.heldCount();
  }

  /** Returns how many requests were refused since the start. */
  public long refused() {
    return refused;
  }

  /** Decides what to do with an arriving request. */
  public Admission admit(RequestKey key) {
    long nowNanos = clock.nanoTime();
    Optional<SuspectRecord> found =
        records.find(key).filter(record -> record.standing(nowNanos) != Standing.FREE);
    if (found.isEmpty()) {
      return Admission.RUN;
    }
    SuspectRecord known = found.get();
    known.onSeen(nowNanos);
    records.put(key, known, nowNanos);
    if (known.standing(nowNanos) == Standing.SUSPECTED && mayRunCanary(key, known, nowNanos)) {
      known.onCanaryStarted();
      return Admission.CANARY;
    }
    refused++;
    return Admission.REFUSE;
  }

  /**
   * Shortly after the crashes any router may run a canary, later only the responsible one:
   * otherwise routers that have not heard of each other's canaries would send the request to
   * several servers.
   */
  private boolean mayRunCanary(RequestKey key, SuspectRecord known, long nowNanos) {
    return !known.isWaitingForCanary(nowNanos)
        && (known.anyRouterMayRunCanary(nowNanos) || responsible.isSelf(key));
  }

  /** Returns whether a request may be sent to servers. */
  public Standing standing(RequestKey key) {
    long nowNanos = clock.nanoTime();
    return records.find(key).map(known -> known.standing(nowNanos)).orElse(Standing.FREE);
  }

  /**
   * A server crashed while a request was open there, as far as its connection shows.
   *
   * @param sentNanos when the request was sent to it
   * @param byCanary whether the server ran the request's canary
   */
  public void onServerCrashed(RequestKey key, String server, long sentNanos, boolean byCanary) {
    long nowNanos = clock.nanoTime();
    SuspectRecord known = recordOf(key, nowNanos);
    Standing before = known.standing(nowNanos);
    if (known.onServerCrashed(server, sentNanos, byCanary, nowNanos)) {
      onChanged(key, known, before, ownId, nowNanos);
    }
  }

  /**
   * The router stopped waiting for an attempt that may have been received. If its server turns out
   * to have ended, that counts as a crash.
   *
   * @param sentNanos when the attempt was sent
   * @param byCanary whether it was the request's canary
   */
  public void onAttemptAbandoned(RequestKey key, String server, long sentNanos, boolean byCanary) {
    UnresolvedAttempts.Attempt attempt =
        new UnresolvedAttempts.Attempt(key, server, sentNanos, byCanary, clock.nanoTime());
    if (unresolved.add(attempt)) {
      onServerLost(attempt);
    }
  }

  /** A server process has ended, or its entry has disappeared without notice. */
  public void onServerEnded(String server) {
    unresolved.onServerEnded(server, clock.nanoTime()).forEach(this::onServerLost);
  }

  private void onServerLost(UnresolvedAttempts.Attempt attempt) {
    events.log(
        new RouterEvent.CrashAttributed(
            attempt.key().logName(),
            attempt.server(),
            (clock.nanoTime() - attempt.sentNanos()) / NANOS_PER_MILLI));
    onServerCrashed(attempt.key(), attempt.server(), attempt.sentNanos(), attempt.byCanary());
  }

  /** A server ran a request and answered, so the request does not crash servers. */
  public void onAnswered(RequestKey key) {
    records.find(key).ifPresent(known -> onAnswered(key, known));
  }

  private void onAnswered(RequestKey key, SuspectRecord known) {
    long nowNanos = clock.nanoTime();
    Standing before = known.standing(nowNanos);
    if (known.onAnswered(nowNanos)) {
      onChanged(key, known, before, ownId, nowNanos);
    }
  }

  /**
   * A canary has finished, with or without an answer.
   *
   * @param mayHaveRun whether the canary may have reached a server
   */
  public void onCanaryEnded(RequestKey key, boolean mayHaveRun) {
    records.find(key).ifPresent(known -> onCanaryEnded(key, known, mayHaveRun));
  }

  private void onCanaryEnded(RequestKey key, SuspectRecord known, boolean mayHaveRun) {
    long nowNanos = clock.nanoTime();
    Standing before = known.standing(nowNanos);
    known.onCanaryEnded(mayHaveRun, nowNanos);
    if (known.standing(nowNanos) != before) {
      onChanged(key, known, before, ownId, nowNanos);
    }
  }

  /** Handles a message of another router; ignores messages that are not about requests. */
  public void onMessage(PeerMessage message) {
    PeerBody body = message.body();
    if (body instanceof PeerBody.SuspectNotice notice) {
      notice.reports().forEach(report -> onReport(report, message.sender().id()));
    } else if (body instanceof PeerBody.SuspectQuestion) {
      gossip.answer(message.sender().address());
    }
  }

  private void onReport(PeerBody.SuspectReport report, String by) {
    Optional<ReportKind> kind = ReportKind.ofWireName(report.kind());
    if (kind.isEmpty()) {
      return;
    }
    long nowNanos = clock.nanoTime();
    RequestKey key = new RequestKey(report.request());
    SuspectRecord known = recordOf(key, nowNanos);
    Standing before = known.standing(nowNanos);
    long asOfNanos = nowNanos - Duration.ofMillis(report.ageMillis()).toNanos();
    if (known.merge(kind.get(), report.servers(), asOfNanos, nowNanos)) {
      onChanged(key, known, before, by, nowNanos);
    }
  }

  private SuspectRecord recordOf(RequestKey key, long nowNanos) {
    Optional<SuspectRecord> known = records.find(key);
    if (known.isPresent()) {
      return known.get();
    }
    if (records.isEmpty()) {
      scheduleEviction();
    }
    SuspectRecord added = new SuspectRecord(rules, nowNanos);
    records.put(key, added, nowNanos);
    return added;
  }

  /** Requests need no key once the last record is gone, so expired ones are removed by a timer. */
  private void scheduleEviction() {
    timers.schedule(
        clock.nanoTime() + EVICTION_INTERVAL.toNanos(),
        () -> {
          records.removeExpired(clock.nanoTime());
          if (!records.isEmpty()) {
            scheduleEviction();
          }
        });
  }

  private void onChanged(
      RequestKey key, SuspectRecord known, Standing before, String by, long nowNanos) {
    Standing now = known.standing(nowNanos);
    records.put(key, known, nowNanos);
    if (now != before) {
      events.log(
          new RouterEvent.SuspectChanged(key.logName(), now.logName(), known.crashCount(), by));
    }
    if (now != Standing.FREE || before != Standing.FREE) {
      gossip.gossipLater(key);
    } else if (by.equals(ownId)) {
      gossip.reportFirstCrashLater(key);
    }
  }

  private Optional<PeerBody.SuspectReport> report(RequestKey key) {
    return records.find(key).map(known -> known.report(key, clock.nanoTime()));
  }
}

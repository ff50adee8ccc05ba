package io.arrowarch.core.suspect;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerGroup;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The requests under which servers have ended lately, as this router and the others know them.
 *
 * <p>Load patterns: one request that ends each server that runs it and comes again at any router
 * (its next coming reaches one server, later ones none); a rack that loses power under load (what
 * was in flight is cleared by the first answer of any of its parts, else tried on one server when
 * it comes again).
 */
public final class SuspectRequests {
  private final String ownId;
  private final SuspectRules rules;
  private final ResponsibleRouters responsible;
  private final RouterClock clock;
  private final EventLog events;
  private final SuspectNews news;
  private final Map<RequestKey, RequestCase> cases = new LinkedHashMap<>();
  private long refused;

  /** What may be done with a request that has come. */
  public enum Admission {
    /** It runs like any other. */
    RUN,
    /** It is sent to one server; {@link #onTrialEnded} must be told the end of that. */
    TRY_ON_ONE_SERVER,
    /** No server gets it. */
    HOLD_BACK
  }

  /** Creates a router's list, which is empty. */
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
    this.events = events;
    this.news =
        new SuspectNews(peers, responsible, clock, timers, random, this::report, this::known);
  }

  /** Asks the others for theirs, also later: they may have started together. */
  public void start() {
    news.start();
  }

  /** Whether nothing is known against any request, so that none needs its key. */
  public boolean isEmpty() {
    return cases.isEmpty();
  }

  /** Requests that are suspected or held back. */
  public long count() {
    long nowNanos = clock.nanoTime();
    return cases.values().stream()
        .filter(known -> known.standing(nowNanos) != Standing.FREE)
        .count();
  }

  /** Requests that were refused since the start. */
  public long refused() {
    return refused;
  }

  /** Decides on a request that has come. */
  public Admission admit(RequestKey key) {
    RequestCase known = cases.get(key);
    long nowNanos = clock.nanoTime();
    if (known == null || known.standing(nowNanos) == Standing.FREE) {
      return Admission.RUN;
    }
    known.onSeen(nowNanos);
    if (known.standing(nowNanos) == Standing.SUSPECTED && mayTry(key, known, nowNanos)) {
      known.onTrialStarted();
      return Admission.TRY_ON_ONE_SERVER;
    }
    refused++;
    return Admission.HOLD_BACK;
  }

  /**
   * Later than shortly after the ends only one router tries, so that routers that have not heard of
   * each other's trials do not send the request to several servers.
   */
  private boolean mayTry(RequestKey key, RequestCase known, long nowNanos) {
    return !known.isOnTrial() && (known.isTrialTime(nowNanos) || responsible.isSelf(key));
  }

  /** What is believed of a request. */
  public Standing standing(RequestKey key) {
    RequestCase known = cases.get(key);
    return known == null ? Standing.FREE : known.standing(clock.nanoTime());
  }

  /**
   * A server has ended while a request was open there, as far as its connection tells.
   *
   * @param byTrial whether the request was tried on that server
   */
  public void onServerEnded(RequestKey key, String server, boolean byTrial) {
    long nowNanos = clock.nanoTime();
    RequestCase known = caseOf(key, nowNanos);
    Standing before = known.standing(nowNanos);
    if (known.onServerEnded(server, byTrial, nowNanos)) {
      onNews(key, known, before, ownId, nowNanos);
    }
  }

  /** A server has run a request to an answer: it does not end servers. */
  public void onAnswered(RequestKey key) {
    RequestCase known = cases.get(key);
    if (known == null) {
      return;
    }
    long nowNanos = clock.nanoTime();
    Standing before = known.standing(nowNanos);
    if (known.onAnswered(nowNanos)) {
      onNews(key, known, before, ownId, nowNanos);
    }
  }

  /**
   * The run on one server has ended, whatever came of it.
   *
   * @param mayHaveRun whether it has reached a server
   */
  public void onTrialEnded(RequestKey key, boolean mayHaveRun) {
    RequestCase known = cases.get(key);
    if (known == null) {
      return;
    }
    long nowNanos = clock.nanoTime();
    Standing before = known.standing(nowNanos);
    known.onTrialEnded(mayHaveRun, nowNanos);
    if (known.standing(nowNanos) != before) {
      onNews(key, known, before, ownId, nowNanos);
    }
  }

  /** Takes a message of another router; others than those about requests are left alone. */
  public void onMessage(PeerMessage message) {
    PeerBody body = message.body();
    if (body instanceof PeerBody.SuspectNotice notice) {
      notice.reports().forEach(report -> take(report, message.sender().id()));
    } else if (body instanceof PeerBody.SuspectQuestion) {
      news.answer(message.sender().address());
    }
  }

  private void take(PeerBody.SuspectReport report, String by) {
    Optional<Verdict> verdict = Verdict.ofWireName(report.verdict());
    if (verdict.isEmpty()) {
      return;
    }
    long nowNanos = clock.nanoTime();
    RequestKey key = new RequestKey(report.request());
    RequestCase known = caseOf(key, nowNanos);
    Standing before = known.standing(nowNanos);
    long asOfNanos = nowNanos - Duration.ofMillis(report.ageMillis()).toNanos();
    if (known.merge(verdict.get(), report.servers(), asOfNanos)) {
      onNews(key, known, before, by, nowNanos);
    }
  }

  private RequestCase caseOf(RequestKey key, long nowNanos) {
    RequestCase known = cases.get(key);
    if (known == null) {
      forgetWhatIsOver(nowNanos);
      known = new RequestCase(rules, nowNanos);
      cases.put(key, known);
    }
    return known;
  }

  private void forgetWhatIsOver(long nowNanos) {
    cases.values().removeIf(known -> known.isOver(nowNanos));
    while (cases.size() >= rules.mostRequests()) {
      cases.remove(seenLongestAgo());
    }
  }

  private RequestKey seenLongestAgo() {
    Iterator<Map.Entry<RequestKey, RequestCase>> entries = cases.entrySet().iterator();
    Map.Entry<RequestKey, RequestCase> oldest = entries.next();
    while (entries.hasNext()) {
      Map.Entry<RequestKey, RequestCase> next = entries.next();
      if (next.getValue().lastSeenNanos() < oldest.getValue().lastSeenNanos()) {
        oldest = next;
      }
    }
    return oldest.getKey();
  }

  private void onNews(
      RequestKey key, RequestCase known, Standing before, String by, long nowNanos) {
    Standing now = known.standing(nowNanos);
    if (now != before) {
      events.log(new RouterEvent.SuspectChanged(key.logName(), now.logName(), known.ends(), by));
    }
    if (now != Standing.FREE || before != Standing.FREE) {
      news.tellAll(key);
    } else if (by.equals(ownId)) {
      news.tellResponsible(key);
    }
  }

  private Optional<PeerBody.SuspectReport> report(RequestKey key) {
    return Optional.ofNullable(cases.get(key)).map(known -> known.report(key, clock.nanoTime()));
  }

  /** What a router that knows nothing must be told. */
  private ImmutableList<RequestKey> known() {
    long nowNanos = clock.nanoTime();
    return cases.entrySet().stream()
        .filter(entry -> entry.getValue().standing(nowNanos) != Standing.FREE)
        .map(Map.Entry::getKey)
        .collect(ImmutableList.toImmutableList());
  }
}

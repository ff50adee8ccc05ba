package io.arrowarch.core.suspect;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.peer.PeerBody;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The crashes, answers and canaries of one request, as this router knows them. Times are readings
 * of this router's clock.
 */
final class SuspectRecord {
  /**
   * How long a request without crashes is remembered after it was last seen. Crashes that another
   * request caused while this one was in flight may be reported late.
   */
  private static final Duration CLEARANCE_RETENTION = Duration.ofSeconds(30);

  /** Number of canaries without an answer or a crash at which the request is quarantined. */
  private static final int MAXIMUM_INCONCLUSIVE_CANARIES = 2;

  /**
   * Time between a canary without a result and the next one. Each may have crashed its server
   * unnoticed.
   */
  private static final Duration CANARY_INTERVAL = Duration.ofSeconds(30);

  /**
   * A reported quarantine that began earlier than the known one, or less than this later, is
   * ignored as already known.
   */
  private static final long SAME_QUARANTINE_NANOS = Duration.ofSeconds(1).toNanos();

  private static final long NEVER = Long.MIN_VALUE;

  private final SuspectRules rules;
  private final List<Crash> crashes = new ArrayList<>();
  private long quarantinedNanos = NEVER;
  private long clearedNanos = NEVER;
  private long lastSeenNanos;
  private int inconclusiveCanaries;
  private boolean canaryRunning;
  private long nextCanaryNanos = NEVER;

  /**
   * A crash of a server that was running the request.
   *
   * @param sentNanos when the request was sent to it
   * @param seenNanos when this router learned of it. What is sent to the server later reaches
   *     another process, although the router may not know its new id yet.
   */
  private record Crash(String server, long sentNanos, long seenNanos) {
    boolean isOf(String other, long otherSentNanos) {
      return server.equals(other) && otherSentNanos <= seenNanos;
    }
  }

  SuspectRecord(SuspectRules rules, long nowNanos) {
    this.rules = rules;
    this.lastSeenNanos = nowNanos;
  }

  Standing standing(long nowNanos) {
    if (quarantinedNanos != NEVER
        && nowNanos - quarantinedNanos < rules.quarantinePeriod().toNanos()) {
      return Standing.QUARANTINED;
    }
    return quarantinedNanos != NEVER || crashes.size() >= rules.crashesToSuspect()
        ? Standing.SUSPECTED
        : Standing.FREE;
  }

  int crashCount() {
    return crashes.size();
  }

  void onSeen(long nowNanos) {
    lastSeenNanos = nowNanos;
  }

  /** Whether this router has a canary running or has recently run one without a result. */
  boolean isWaitingForCanary(long nowNanos) {
    return canaryRunning || nowNanos < nextCanaryNanos;
  }

  /** Whether any router may run a canary, not only the responsible one. */
  boolean anyRouterMayRunCanary(long nowNanos) {
    return quarantinedNanos == NEVER
        && nowNanos - newestSentNanos() < rules.canaryPeriod().toNanos();
  }

  private long newestSentNanos() {
    return crashes.stream().mapToLong(Crash::sentNanos).max().orElse(NEVER);
  }

  void onCanaryStarted() {
    canaryRunning = true;
  }

  /**
   * A canary has finished. Its answer or the crash of its server has been reported before this
   * call.
   *
   * @param mayHaveRun whether the canary may have reached a server
   */
  void onCanaryEnded(boolean mayHaveRun, long nowNanos) {
    if (!canaryRunning) {
      return;
    }
    canaryRunning = false;
    if (!mayHaveRun) {
      return;
    }
    inconclusiveCanaries++;
    nextCanaryNanos = nowNanos + CANARY_INTERVAL.toNanos();
    if (inconclusiveCanaries >= MAXIMUM_INCONCLUSIVE_CANARIES) {
      quarantine(nowNanos);
    }
  }

  /**
   * A server crashed while the request was open there. An answer to the request that came after it
   * was sent there shows that something else crashed the server.
   *
   * @param sentNanos when the request was sent to the server
   * @param byCanary whether the server ran the canary
   * @return whether the record changed
   */
  boolean onServerCrashed(String server, long sentNanos, boolean byCanary, long nowNanos) {
    lastSeenNanos = Math.max(lastSeenNanos, nowNanos);
    if (isCleared(sentNanos)) {
      return false;
    }
    if (byCanary) {
      canaryRunning = false;
      boolean unused = add(server, sentNanos, nowNanos);
      quarantine(nowNanos);
      return true;
    }
    return crashes.size() < rules.crashesToSuspect() && add(server, sentNanos, nowNanos);
  }

  private boolean add(String server, long sentNanos, long nowNanos) {
    boolean known = crashes.stream().anyMatch(crash -> crash.isOf(server, sentNanos));
    if (!known) {
      crashes.add(new Crash(server, sentNanos, nowNanos));
    }
    return !known;
  }

  private void quarantine(long nanos) {
    quarantinedNanos = nanos;
    inconclusiveCanaries = 0;
  }

  /**
   * A server ran the request and answered. Crashes to which the request was sent later, and a later
   * quarantine, still count.
   *
   * @return whether the record changed
   */
  boolean onAnswered(long nanos) {
    if (nanos <= clearedNanos) {
      return false;
    }
    clearedNanos = nanos;
    boolean changed = crashes.removeIf(crash -> crash.sentNanos() <= nanos);
    if (quarantinedNanos != NEVER && quarantinedNanos <= nanos) {
      quarantinedNanos = NEVER;
      changed = true;
    }
    inconclusiveCanaries = 0;
    nextCanaryNanos = NEVER;
    canaryRunning = false;
    return changed;
  }

  private boolean isCleared(long nanos) {
    return nanos <= clearedNanos;
  }

  /**
   * Merges a report of another router.
   *
   * @param servers those that crashed; one that crashed twice under the same id stands there twice
   * @param asOfNanos when the request was last sent to one of the crashed servers, or when it was
   *     answered or quarantined
   * @return whether the record changed
   */
  boolean merge(ReportKind kind, List<String> servers, long asOfNanos, long nowNanos) {
    lastSeenNanos = Math.max(lastSeenNanos, asOfNanos);
    return switch (kind) {
      case CLEARANCE -> onAnswered(asOfNanos);
      case ENDS -> !isCleared(asOfNanos) && addAll(servers, asOfNanos, nowNanos);
      case QUARANTINE -> !isCleared(asOfNanos) && mergeQuarantine(servers, asOfNanos, nowNanos);
    };
  }

  private boolean addAll(List<String> servers, long sentNanos, long nowNanos) {
    if (servers.size() == 1) {
      // Only then is the time that of this very crash.
      return crashes.size() < rules.crashesToSuspect() && add(servers.get(0), sentNanos, nowNanos);
    }
    boolean changed = false;
    for (String server : ImmutableSet.copyOf(servers)) {
      int missing = Collections.frequency(servers, server) - crashesOf(server);
      for (int i = 0; i < missing && crashes.size() < rules.crashesToSuspect(); i++) {
        crashes.add(new Crash(server, sentNanos, nowNanos));
        changed = true;
      }
    }
    return changed;
  }

  private int crashesOf(String server) {
    return (int) crashes.stream().filter(crash -> crash.server().equals(server)).count();
  }

  private boolean mergeQuarantine(List<String> servers, long asOfNanos, long nowNanos) {
    boolean unused = addAll(servers, asOfNanos, nowNanos);
    if (quarantinedNanos != NEVER && asOfNanos - quarantinedNanos < SAME_QUARANTINE_NANOS) {
      return false;
    }
    canaryRunning = false;
    quarantine(asOfNanos);
    return true;
  }

  /** Returns the report for other routers. */
  PeerBody.SuspectReport report(RequestKey key, long nowNanos) {
    ReportKind kind =
        quarantinedNanos != NEVER
            ? ReportKind.QUARANTINE
            : crashes.isEmpty() ? ReportKind.CLEARANCE : ReportKind.ENDS;
    long asOfNanos =
        switch (kind) {
          case QUARANTINE -> quarantinedNanos;
          case CLEARANCE -> clearedNanos;
          case ENDS -> newestSentNanos();
        };
    long age = Duration.ofNanos(Math.max(0, nowNanos - asOfNanos)).toMillis();
    return new PeerBody.SuspectReport(
        key.text(),
        kind.wireName(),
        crashes.stream().map(Crash::server).collect(ImmutableList.toImmutableList()),
        age);
  }

  /**
   * Whether the record can be removed. The first crashes of a request are kept as long as a
   * suspicion: the next one may come much later.
   */
  boolean isExpired(long nowNanos) {
    boolean holdsNoCrash = crashes.isEmpty() && quarantinedNanos == NEVER;
    Duration kept = holdsNoCrash ? CLEARANCE_RETENTION : rules.retentionPeriod();
    return nowNanos - lastSeenNanos > kept.toNanos();
  }
}

package io.arrowarch.core.suspect;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.PeerBody;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The crashes, answers and canaries of one request, as this router knows them. Times are readings
 * of this router's clock.
 */
final class SuspectRecord {
  /**
   * For how long crashes of servers that were running a request are ignored after an answer to it.
   * Crashes that another request caused while this one was in flight may be reported late. A
   * request without crashes is remembered for the same time after it was last seen.
   */
  private static final Duration CLEARANCE_PERIOD = Duration.ofSeconds(30);

  /** Number of canaries without an answer or a crash at which the request is quarantined. */
  private static final int MAXIMUM_INCONCLUSIVE_CANARIES = 3;

  /**
   * A reported quarantine that began earlier than the known one, or less than this later, is
   * ignored as already known.
   */
  private static final long SAME_QUARANTINE_NANOS = Duration.ofSeconds(1).toNanos();

  private static final long NEVER = Long.MIN_VALUE;

  private final SuspectRules rules;
  private final Set<String> crashedServers = new LinkedHashSet<>();
  private long newestCrashNanos = NEVER;
  private long quarantinedNanos = NEVER;
  private long clearedNanos = NEVER;
  private long lastSeenNanos;
  private int inconclusiveCanaries;
  private boolean canaryRunning;

  SuspectRecord(SuspectRules rules, long nowNanos) {
    this.rules = rules;
    this.lastSeenNanos = nowNanos;
  }

  Standing standing(long nowNanos) {
    if (quarantinedNanos != NEVER
        && nowNanos - quarantinedNanos < rules.quarantinePeriod().toNanos()) {
      return Standing.QUARANTINED;
    }
    return quarantinedNanos != NEVER || crashedServers.size() >= rules.crashesToSuspect()
        ? Standing.SUSPECTED
        : Standing.FREE;
  }

  int crashCount() {
    return crashedServers.size();
  }

  long lastSeenNanos() {
    return lastSeenNanos;
  }

  void onSeen(long nowNanos) {
    lastSeenNanos = nowNanos;
  }

  boolean hasCanary() {
    return canaryRunning;
  }

  /** Whether any router may run a canary, not only the responsible one. */
  boolean anyRouterMayRunCanary(long nowNanos) {
    return quarantinedNanos == NEVER
        && nowNanos - newestCrashNanos < rules.canaryPeriod().toNanos();
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
    inconclusiveCanaries += mayHaveRun ? 1 : 0;
    if (inconclusiveCanaries >= MAXIMUM_INCONCLUSIVE_CANARIES) {
      quarantine(nowNanos);
    }
  }

  /**
   * A server crashed while the request was open there.
   *
   * @param byCanary whether the server ran the canary
   * @return whether the record changed
   */
  boolean onServerCrashed(String server, boolean byCanary, long crashNanos) {
    lastSeenNanos = Math.max(lastSeenNanos, crashNanos);
    if (isCleared(crashNanos)) {
      return false;
    }
    if (byCanary) {
      canaryRunning = false;
      crashedServers.add(server);
      quarantine(crashNanos);
      return true;
    }
    return crashedServers.size() < rules.crashesToSuspect() && add(server, crashNanos);
  }

  private boolean add(String server, long crashNanos) {
    boolean added = crashedServers.add(server);
    if (added) {
      newestCrashNanos = Math.max(newestCrashNanos, crashNanos);
    }
    return added;
  }

  private void quarantine(long nanos) {
    quarantinedNanos = nanos;
    inconclusiveCanaries = 0;
  }

  /**
   * A server ran the request and answered.
   *
   * @return whether the record changed
   */
  boolean onAnswered(long nanos) {
    if (nanos <= clearedNanos) {
      return false;
    }
    boolean changed = !crashedServers.isEmpty() || quarantinedNanos != NEVER;
    clearedNanos = nanos;
    crashedServers.clear();
    newestCrashNanos = NEVER;
    quarantinedNanos = NEVER;
    inconclusiveCanaries = 0;
    canaryRunning = false;
    return changed;
  }

  private boolean isCleared(long nanos) {
    return clearedNanos != NEVER && nanos - clearedNanos < CLEARANCE_PERIOD.toNanos();
  }

  /**
   * Merges a report of another router.
   *
   * @param asOfNanos when the newest reported crash, answer or quarantine happened
   * @return whether the record changed
   */
  boolean merge(ReportKind kind, List<String> servers, long asOfNanos) {
    lastSeenNanos = Math.max(lastSeenNanos, asOfNanos);
    return switch (kind) {
      case CLEARANCE -> onAnswered(asOfNanos);
      case ENDS -> !isCleared(asOfNanos) && addAll(servers, asOfNanos);
      case QUARANTINE -> !isCleared(asOfNanos) && mergeQuarantine(servers, asOfNanos);
    };
  }

  private boolean addAll(List<String> servers, long crashNanos) {
    boolean changed = false;
    for (String server : servers) {
      if (crashedServers.size() < rules.crashesToSuspect()) {
        changed |= add(server, crashNanos);
      }
    }
    return changed;
  }

  private boolean mergeQuarantine(List<String> servers, long asOfNanos) {
    boolean unused = addAll(servers, asOfNanos);
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
            : crashedServers.isEmpty() ? ReportKind.CLEARANCE : ReportKind.ENDS;
    long asOfNanos =
        switch (kind) {
          case QUARANTINE -> quarantinedNanos;
          case CLEARANCE -> clearedNanos;
          case ENDS -> newestCrashNanos;
        };
    long age = Duration.ofNanos(Math.max(0, nowNanos - asOfNanos)).toMillis();
    return new PeerBody.SuspectReport(
        key.text(), kind.wireName(), ImmutableList.copyOf(crashedServers), age);
  }

  /**
   * Whether the record can be removed. The first crashes of a request are kept as long as a
   * suspicion: the next one may come much later.
   */
  boolean isExpired(long nowNanos) {
    boolean holdsNoCrash = crashedServers.isEmpty() && quarantinedNanos == NEVER;
    Duration kept = holdsNoCrash ? CLEARANCE_PERIOD : rules.retentionPeriod();
    return nowNanos - lastSeenNanos > kept.toNanos();
  }
}

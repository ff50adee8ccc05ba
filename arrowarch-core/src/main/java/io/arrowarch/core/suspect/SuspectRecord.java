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
   * For how long crashes under a request are ignored after an answer to it. Crashes that another
   * request caused while this one was in flight may be reported late.
   */
  private static final Duration CLEARANCE_LENGTH = Duration.ofSeconds(30);

  /** Canaries with neither an answer nor a crash after which the request is quarantined. */
  private static final int MOST_CANARIES_WITHOUT_RESULT = 3;

  /** A reported quarantine that began within this time after the known one is the same one. */
  private static final long SAME_MOMENT_NANOS = Duration.ofSeconds(1).toNanos();

  private static final long NEVER = Long.MIN_VALUE;

  private final SuspectRules rules;
  private final Set<String> ended = new LinkedHashSet<>();
  private long newestEndNanos = NEVER;
  private long quarantinedNanos = NEVER;
  private long clearedNanos = NEVER;
  private long lastSeenNanos;
  private int canariesWithoutResult;
  private boolean canaryRuns;

  SuspectRecord(SuspectRules rules, long nowNanos) {
    this.rules = rules;
    this.lastSeenNanos = nowNanos;
  }

  Standing standing(long nowNanos) {
    if (quarantinedNanos != NEVER && nowNanos - quarantinedNanos < rules.hold().toNanos()) {
      return Standing.QUARANTINED;
    }
    return quarantinedNanos != NEVER || ended.size() >= rules.endsToSuspect()
        ? Standing.SUSPECTED
        : Standing.FREE;
  }

  int ends() {
    return ended.size();
  }

  long lastSeenNanos() {
    return lastSeenNanos;
  }

  void onSeen(long nowNanos) {
    lastSeenNanos = nowNanos;
  }

  boolean hasCanary() {
    return canaryRuns;
  }

  /** Whether any router may run a canary, not only the responsible one. */
  boolean isCanaryTime(long nowNanos) {
    return quarantinedNanos == NEVER && nowNanos - newestEndNanos < rules.canaryTime().toNanos();
  }

  void onCanaryStarted() {
    canaryRuns = true;
  }

  /**
   * A canary has finished. Its answer or the crash of its server has been reported before this
   * call.
   *
   * @param mayHaveRun whether the canary may have reached a server
   */
  void onCanaryEnded(boolean mayHaveRun, long nowNanos) {
    if (!canaryRuns) {
      return;
    }
    canaryRuns = false;
    canariesWithoutResult += mayHaveRun ? 1 : 0;
    if (canariesWithoutResult >= MOST_CANARIES_WITHOUT_RESULT) {
      quarantine(nowNanos);
    }
  }

  /**
   * A server crashed while the request was open there.
   *
   * @param byCanary whether the server ran the canary
   * @return whether the record changed
   */
  boolean onServerEnded(String server, boolean byCanary, long endNanos) {
    lastSeenNanos = Math.max(lastSeenNanos, endNanos);
    if (isCleared(endNanos)) {
      return false;
    }
    if (byCanary) {
      canaryRuns = false;
      ended.add(server);
      quarantine(endNanos);
      return true;
    }
    return ended.size() < rules.endsToSuspect() && add(server, endNanos);
  }

  private boolean add(String server, long endNanos) {
    boolean added = ended.add(server);
    if (added) {
      newestEndNanos = Math.max(newestEndNanos, endNanos);
    }
    return added;
  }

  private void quarantine(long nanos) {
    quarantinedNanos = nanos;
    canariesWithoutResult = 0;
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
    boolean news = !ended.isEmpty() || quarantinedNanos != NEVER;
    clearedNanos = nanos;
    ended.clear();
    newestEndNanos = NEVER;
    quarantinedNanos = NEVER;
    canariesWithoutResult = 0;
    canaryRuns = false;
    return news;
  }

  private boolean isCleared(long nanos) {
    return clearedNanos != NEVER && nanos - clearedNanos < CLEARANCE_LENGTH.toNanos();
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

  private boolean addAll(List<String> servers, long endNanos) {
    boolean news = false;
    for (String server : servers) {
      if (ended.size() < rules.endsToSuspect()) {
        news |= add(server, endNanos);
      }
    }
    return news;
  }

  private boolean mergeQuarantine(List<String> servers, long asOfNanos) {
    boolean unused = addAll(servers, asOfNanos);
    if (quarantinedNanos != NEVER && asOfNanos - quarantinedNanos < SAME_MOMENT_NANOS) {
      return false;
    }
    canaryRuns = false;
    quarantine(asOfNanos);
    return true;
  }

  /** Returns the report for other routers. */
  PeerBody.SuspectReport report(RequestKey key, long nowNanos) {
    ReportKind kind =
        quarantinedNanos != NEVER
            ? ReportKind.QUARANTINE
            : ended.isEmpty() ? ReportKind.CLEARANCE : ReportKind.ENDS;
    long asOfNanos =
        switch (kind) {
          case QUARANTINE -> quarantinedNanos;
          case CLEARANCE -> clearedNanos;
          case ENDS -> newestEndNanos;
        };
    long age = Duration.ofNanos(Math.max(0, nowNanos - asOfNanos)).toMillis();
    return new PeerBody.SuspectReport(
        key.text(), kind.wireName(), ImmutableList.copyOf(ended), age);
  }

  /** Whether the record can be removed. */
  boolean isOver(long nowNanos) {
    boolean free = standing(nowNanos) == Standing.FREE;
    Duration kept = free ? CLEARANCE_LENGTH : rules.memory();
    return nowNanos - lastSeenNanos > kept.toNanos();
  }
}

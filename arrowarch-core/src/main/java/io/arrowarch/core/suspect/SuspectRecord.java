package io.arrowarch.core.suspect;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.PeerBody;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** What is known for and against one request. Times are this router's. */
final class SuspectRecord {
  /**
   * How long an answer speaks for a request: what has been in flight when servers ended under
   * another one is told late.
   */
  private static final Duration CLEARANCE_LENGTH = Duration.ofSeconds(30);

  /**
   * Canaries that end neither with an answer nor with the server before the request is quarantined.
   */
  private static final int MOST_CANARIES_WITHOUT_RESULT = 3;

  /** A quarantine that differs by less from the known one is no news. */
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

  /** Whether every router may try it, not only the one that is responsible. */
  boolean isCanaryTime(long nowNanos) {
    return quarantinedNanos == NEVER && nowNanos - newestEndNanos < rules.canaryTime().toNanos();
  }

  void onCanaryStarted() {
    canaryRuns = true;
  }

  /**
   * A canary is over; its answer or its end under the request has been told before.
   *
   * @param mayHaveRun whether it has reached a server
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
   * A server has ended while the request was open there.
   *
   * @param byCanary whether it was the server that the request was tried on
   * @return whether that is news
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
   * A server has run the request to an answer.
   *
   * @return whether that is news
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
   * Takes what another router knows.
   *
   * @param asOfNanos when the newest of it happened
   * @return whether that is news
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

  /** What other routers are told. */
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

  /** Whether it need not be remembered any more. */
  boolean isOver(long nowNanos) {
    boolean free = standing(nowNanos) == Standing.FREE;
    Duration kept = free ? CLEARANCE_LENGTH : rules.memory();
    return nowNanos - lastSeenNanos > kept.toNanos();
  }
}

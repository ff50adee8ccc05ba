package io.arrowarch.core.suspect;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.PeerBody;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** What is known for and against one request. Times are this router's. */
final class RequestCase {
  /**
   * How long an answer speaks for a request: what has been in flight when servers ended under
   * another one is told late.
   */
  private static final Duration CLEARANCE = Duration.ofSeconds(30);

  /** Trials that end neither with an answer nor with the server before the request is held back. */
  private static final int MOST_TRIALS_WITHOUT_VERDICT = 3;

  /** A conviction that differs by less from the known one is no news. */
  private static final long SAME_MOMENT_NANOS = Duration.ofSeconds(1).toNanos();

  private static final long NEVER = Long.MIN_VALUE;

  private final SuspectRules rules;
  private final Set<String> ended = new LinkedHashSet<>();
  private long newestEndNanos = NEVER;
  private long convictedNanos = NEVER;
  private long clearedNanos = NEVER;
  private long lastSeenNanos;
  private int trialsWithoutVerdict;
  private boolean onTrial;

  RequestCase(SuspectRules rules, long nowNanos) {
    this.rules = rules;
    this.lastSeenNanos = nowNanos;
  }

  Standing standing(long nowNanos) {
    if (convictedNanos != NEVER && nowNanos - convictedNanos < rules.hold().toNanos()) {
      return Standing.HELD_BACK;
    }
    return convictedNanos != NEVER || ended.size() >= rules.endsToSuspect()
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

  boolean isOnTrial() {
    return onTrial;
  }

  /** Whether every router may try it, not only the one that is responsible. */
  boolean isTrialTime(long nowNanos) {
    return convictedNanos == NEVER && nowNanos - newestEndNanos < rules.trialTime().toNanos();
  }

  void onTrialStarted() {
    onTrial = true;
  }

  /**
   * A trial is over; its answer or its end under the request has been told before.
   *
   * @param mayHaveRun whether it has reached a server
   */
  void onTrialEnded(boolean mayHaveRun, long nowNanos) {
    if (!onTrial) {
      return;
    }
    onTrial = false;
    trialsWithoutVerdict += mayHaveRun ? 1 : 0;
    if (trialsWithoutVerdict >= MOST_TRIALS_WITHOUT_VERDICT) {
      convict(nowNanos);
    }
  }

  /**
   * A server has ended while the request was open there.
   *
   * @param byTrial whether it was the server that the request was tried on
   * @return whether that is news
   */
  boolean onServerEnded(String server, boolean byTrial, long endNanos) {
    lastSeenNanos = Math.max(lastSeenNanos, endNanos);
    if (isCleared(endNanos)) {
      return false;
    }
    if (byTrial) {
      onTrial = false;
      ended.add(server);
      convict(endNanos);
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

  private void convict(long nanos) {
    convictedNanos = nanos;
    trialsWithoutVerdict = 0;
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
    boolean news = !ended.isEmpty() || convictedNanos != NEVER;
    clearedNanos = nanos;
    ended.clear();
    newestEndNanos = NEVER;
    convictedNanos = NEVER;
    trialsWithoutVerdict = 0;
    onTrial = false;
    return news;
  }

  private boolean isCleared(long nanos) {
    return clearedNanos != NEVER && nanos - clearedNanos < CLEARANCE.toNanos();
  }

  /**
   * Takes what another router knows.
   *
   * @param asOfNanos when the newest of it happened
   * @return whether that is news
   */
  boolean merge(Verdict verdict, List<String> servers, long asOfNanos) {
    lastSeenNanos = Math.max(lastSeenNanos, asOfNanos);
    return switch (verdict) {
      case CLEARED -> onAnswered(asOfNanos);
      case ACCUSED -> !isCleared(asOfNanos) && addAll(servers, asOfNanos);
      case CONVICTED -> !isCleared(asOfNanos) && mergeConviction(servers, asOfNanos);
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

  private boolean mergeConviction(List<String> servers, long asOfNanos) {
    boolean unused = addAll(servers, asOfNanos);
    if (convictedNanos != NEVER && asOfNanos - convictedNanos < SAME_MOMENT_NANOS) {
      return false;
    }
    onTrial = false;
    convict(asOfNanos);
    return true;
  }

  /** What other routers are told. */
  PeerBody.SuspectReport report(RequestKey key, long nowNanos) {
    Verdict verdict =
        convictedNanos != NEVER
            ? Verdict.CONVICTED
            : ended.isEmpty() ? Verdict.CLEARED : Verdict.ACCUSED;
    long asOfNanos =
        switch (verdict) {
          case CONVICTED -> convictedNanos;
          case CLEARED -> clearedNanos;
          case ACCUSED -> newestEndNanos;
        };
    long age = Duration.ofNanos(Math.max(0, nowNanos - asOfNanos)).toMillis();
    return new PeerBody.SuspectReport(
        key.text(), verdict.wireName(), ImmutableList.copyOf(ended), age);
  }

  /** Whether it need not be remembered any more. */
  boolean isOver(long nowNanos) {
    boolean free = standing(nowNanos) == Standing.FREE;
    Duration kept = free ? CLEARANCE : rules.memory();
    return nowNanos - lastSeenNanos > kept.toNanos();
  }
}

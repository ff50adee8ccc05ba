package io.arrowarch.core.feed;

import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.Optional;

/**
 * Estimates the earliest time at which each delivered change was made. A server that begins to
 * leave must stop receiving requests within a time limit. The limit is counted from the change and
 * not from its arrival, because a router may learn of the change late.
 */
final class ChangeTimes {
  /**
   * A watch that takes longer than this to answer was waiting at the store, and was answered as
   * soon as the change was made.
   */
  static final Duration IMMEDIATE_ANSWER_TIME = Duration.ofMillis(500);

  /**
   * Calls that fail over a shorter time are no outage of the store. A connection that breaks or
   * falls silent fails one call, and the store answers the next one.
   */
  static final Duration SHORTEST_OUTAGE = Duration.ofSeconds(1);

  /** No entry expires in a shorter outage of the store: servers write them about every second. */
  private static final Duration SHORTEST_EXPIRY = Duration.ofSeconds(3);

  private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;

  private final RouterClock clock;
  private final Duration peerDelay;
  private Optional<Long> completeUntilNanos = Optional.empty();
  private Optional<Behind> behind = Optional.empty();
  private Optional<Long> failingSinceNanos = Optional.empty();
  private boolean entriesMayHaveExpired;
  private long earliestChangeNanos;
  private long earliestDeletionNanos;

  /** A revision of another router that this one didn't know, and when it heard of that. */
  private record Behind(StoreRevision revision, long sinceNanos, Optional<Duration> viewAge) {
    /**
     * The earliest time at which a key may have been deleted without having expired. If the view
     * was confirmed until shortly before, the store served other routers while it failed this one,
     * so that no entry has expired.
     */
    long earliestDeletionNanos() {
      return sinceNanos
          - viewAge
              .filter(age -> age.compareTo(SHORTEST_EXPIRY) < 0)
              .map(Duration::toNanos)
              .orElse(0L);
    }
  }

  /**
   * Creates the times for a follower that has read nothing.
   *
   * @param peerDelay how long after the store another router may report a change
   */
  ChangeTimes(RouterClock clock, Duration peerDelay) {
    this.clock = clock;
    this.peerDelay = peerDelay;
  }

  /** The earliest time at which the change that is being delivered may have been made. */
  long earliestChangeNanos() {
    return earliestChangeNanos;
  }

  /**
   * The time from which the age of a deletion that is being delivered is measured: the earliest
   * time at which it may have been made. After an outage of the store, a deletion found by a
   * listing counts from its delivery instead: entries expire while the store is down for everybody,
   * and are written again soon after it recovers. It counts from an earlier time only if other
   * routers could reach the store while this one couldn't.
   */
  long earliestDeletionNanos() {
    return earliestDeletionNanos;
  }

  /**
   * Records that another router knows a revision that this one doesn't. Returns how long this
   * router has been behind.
   *
   * @param viewAge the largest age that this router's view may have, by what other routers confirm
   */
  Duration onBehind(StoreRevision revision, Optional<Duration> viewAge) {
    long nowNanos = clock.nanoTime();
    Behind since = behind.orElseGet(() -> new Behind(revision, nowNanos, viewAge));
    behind = Optional.of(since);
    return Duration.ofNanos(nowNanos - since.sinceNanos());
  }

  /** Whether another router is known to know a revision that this one doesn't. */
  boolean isBehind() {
    return behind.isPresent();
  }

  /** Records the newest revision that this router knows, after changes were delivered. */
  void onKnown(StoreRevision newest) {
    behind = behind.filter(since -> since.revision().isAfter(newest));
  }

  /** Records that the store has failed this router, or the relay that this router follows. */
  void onStoreFailed() {
    failingSinceNanos = failingSinceNanos.or(() -> Optional.of(clock.nanoTime()));
    entriesMayHaveExpired |= hasOutageNow();
  }

  private boolean hasOutageNow() {
    long longestNanos = clock.nanoTime() - SHORTEST_OUTAGE.toNanos();
    return failingSinceNanos.filter(since -> since <= longestNanos).isPresent();
  }

  /** Records that the store has answered this router, with or without the history it asked for. */
  void onStoreReached() {
    failingSinceNanos = Optional.empty();
  }

  /**
   * Called before a listing is delivered. Its changes may have been made at any time since the view
   * was last known to be complete.
   */
  void beforeListing() {
    earliestChangeNanos = completeUntilNanos.orElse(LONG_AGO_NANOS);
    earliestDeletionNanos =
        entriesMayHaveExpired || hasOutageNow()
            ? behind.map(Behind::earliestDeletionNanos).orElse(clock.nanoTime())
            : earliestChangeNanos;
  }

  /**
   * Records that the view is complete as of a time. Called after a listing has been delivered, and
   * before the changes of a watch or of another router are, once their own times are computed.
   */
  void afterListing(long startNanos) {
    completeUntilNanos = Optional.of(startNanos);
    entriesMayHaveExpired = false;
  }

  /**
   * Called before the answer of a watch is delivered. A watch that had to wait ends with the
   * change.
   */
  void beforeChanges(long callStartNanos) {
    long nowNanos = clock.nanoTime();
    boolean waited = nowNanos - callStartNanos > IMMEDIATE_ANSWER_TIME.toNanos();
    earliestChangeNanos = waited ? nowNanos : completeUntilNanos.orElse(LONG_AGO_NANOS);
    earliestDeletionNanos = earliestChangeNanos;
    afterListing(waited ? nowNanos : callStartNanos);
  }

  /**
   * Called before changes are delivered that a restored backup of the store brought and that were
   * held back because they contradicted what was known. They may have been made long ago.
   */
  void beforeResolvingConflicts() {
    earliestChangeNanos = LONG_AGO_NANOS;
    earliestDeletionNanos = LONG_AGO_NANOS;
  }

  /**
   * Called before changes that another router reports are delivered. That router may have received
   * them some time after they were made in the store.
   */
  void beforePeerChanges(long callStartNanos) {
    earliestChangeNanos = completeUntilNanos.orElse(LONG_AGO_NANOS);
    earliestDeletionNanos = clock.nanoTime() - peerDelay.toNanos();
    afterListing(callStartNanos - peerDelay.toNanos());
  }
}

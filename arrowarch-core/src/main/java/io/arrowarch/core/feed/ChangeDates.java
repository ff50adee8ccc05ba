package io.arrowarch.core.feed;

import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.Optional;

/**
 * From when the changes may be that a follower tells. A server that has begun to leave must get
 * nothing more some time after that, whenever a router has heard of it.
 */
final class ChangeDates {
  /** An answer to a watch that took longer was sent at once when the change was made. */
  static final Duration PROMPT_ANSWER = Duration.ofMillis(500);

  private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;

  private final RouterClock clock;
  private final Duration peerDelay;
  private Optional<Long> completeUntilNanos = Optional.empty();
  private Optional<Long> behindSinceNanos = Optional.empty();
  private long changedSinceNanos;
  private long deletedSinceNanos;

  /**
   * Creates dates of a follower that knows nothing.
   *
   * @param peerDelay how much later than the store another router may tell of a change
   */
  ChangeDates(RouterClock clock, Duration peerDelay) {
    this.clock = clock;
    this.peerDelay = peerDelay;
  }

  /** The earliest moment at which the change that is being told may have been made. */
  long changedSinceNanos() {
    return changedSinceNanos;
  }

  /**
   * The moment from which a deletion that is being told is to be counted. Entries also lapse while
   * the store is away, and come back soon after it; only where it was there for others meanwhile
   * may a deletion be older than its news.
   */
  long deletedSinceNanos() {
    return deletedSinceNanos;
  }

  /** Notes that another router is ahead while the store fails this one; returns for how long. */
  Duration onBehind() {
    long nowNanos = clock.nanoTime();
    long since = behindSinceNanos.orElse(nowNanos);
    behindSinceNanos = Optional.of(since);
    return Duration.ofNanos(nowNanos - since);
  }

  /** A listing is about to be told: it is from any time since all was known. */
  void beforeListing() {
    changedSinceNanos = completeUntilNanos.orElse(LONG_AGO_NANOS);
    deletedSinceNanos = behindSinceNanos.orElse(clock.nanoTime());
  }

  /** All that the store held when a listing began has been told. */
  void afterListing(long startNanos) {
    completeUntilNanos = Optional.of(startNanos);
    behindSinceNanos = Optional.empty();
  }

  /** An answer to a watch is about to be told: one that has waited ends with the change. */
  void beforeChanges(long callStartNanos) {
    long nowNanos = clock.nanoTime();
    boolean waited = nowNanos - callStartNanos > PROMPT_ANSWER.toNanos();
    changedSinceNanos = waited ? nowNanos : completeUntilNanos.orElse(LONG_AGO_NANOS);
    deletedSinceNanos = changedSinceNanos;
    afterListing(waited ? nowNanos : callStartNanos);
  }

  /** What an older copy contradicted is about to be told: it may have changed long ago. */
  void beforeSettling() {
    changedSinceNanos = LONG_AGO_NANOS;
    deletedSinceNanos = LONG_AGO_NANOS;
  }

  /** Changes that another router tells: it may have heard of them some time after the store. */
  void beforeChangesOfPeer(long callStartNanos) {
    changedSinceNanos = completeUntilNanos.orElse(LONG_AGO_NANOS);
    deletedSinceNanos = clock.nanoTime() - peerDelay.toNanos();
    afterListing(callStartNanos - peerDelay.toNanos());
  }
}

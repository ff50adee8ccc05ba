package io.arrowarch.core.feed;

import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.Optional;

/** When other routers were asked for their listings, so that an answer can be dated. */
final class PeerListingCalls {
  /** A listing of a peer has some 100 KB on a site of 400 servers; changes may wait a moment. */
  static final Duration INTERVAL = Duration.ofMillis(1_500);

  private final RouterClock clock;
  private Optional<Long> lastNanos = Optional.empty();
  private long oldestNanos;
  private int unanswered;

  PeerListingCalls(RouterClock clock) {
    this.clock = clock;
  }

  /** Whether one was made so lately that another is of little use. */
  boolean madeLately() {
    long nowNanos = clock.nanoTime();
    return lastNanos.filter(last -> nowNanos - last < INTERVAL.toNanos()).isPresent();
  }

  void onAsked() {
    long nowNanos = clock.nanoTime();
    lastNanos = Optional.of(nowNanos);
    if (unanswered == 0) {
      oldestNanos = nowNanos;
    }
    unanswered++;
  }

  /**
   * Takes an answer or a failure; returns the earliest moment at which it may have been asked for,
   * if it was.
   */
  Optional<Long> onEnded() {
    if (unanswered == 0) {
      return Optional.empty();
    }
    unanswered--;
    return Optional.of(oldestNanos);
  }
}

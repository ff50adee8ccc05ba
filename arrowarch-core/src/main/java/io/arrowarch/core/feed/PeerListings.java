package io.arrowarch.core.feed;

import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.Optional;

/**
 * Asks other routers for their listings, not too often, and keeps when, so that an answer can be
 * dated.
 */
final class PeerListings {
  /** A listing of a peer has some 100 KB on a site of 400 servers; changes may wait a moment. */
  static final Duration INTERVAL = Duration.ofMillis(1_500);

  private final FeedTransport transport;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final StoreView view;
  private Optional<Long> lastNanos = Optional.empty();
  private long oldestNanos;
  private int unanswered;
  private boolean checkingVersion;

  PeerListings(FeedTransport transport, RouterClock clock, TimerQueue timers, StoreView view) {
    this.transport = transport;
    this.clock = clock;
    this.timers = timers;
    this.view = view;
  }

  /** Asks a router for all that it holds. */
  void ask(String address) {
    onAsked();
    transport.listFromPeer(address);
  }

  /** The same, unless a router was asked a moment ago. */
  void askUnlessLately(String address) {
    if (!madeLately()) {
      ask(address);
    }
  }

  /**
   * Hears which version of the configuration another router holds. A copy of the store that was
   * listed here may lack it; a change that is on its way arrives before the other is asked.
   */
  void onPeerVersion(long version, String address) {
    if (checkingVersion || !view.isComplete() || version <= view.configurationVersion()) {
      return;
    }
    checkingVersion = true;
    timers.schedule(
        clock.nanoTime() + StoreFollower.BEHIND_SLACK.toNanos(),
        () -> {
          checkingVersion = false;
          if (version > view.configurationVersion()) {
            askUnlessLately(address);
          }
        });
  }

  /** Whether one was made so lately that another is of little use. */
  private boolean madeLately() {
    long nowNanos = clock.nanoTime();
    return lastNanos.filter(last -> nowNanos - last < INTERVAL.toNanos()).isPresent();
  }

  private void onAsked() {
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

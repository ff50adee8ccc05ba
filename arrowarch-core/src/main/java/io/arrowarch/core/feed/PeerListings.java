package io.arrowarch.core.feed;

import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.Optional;

/**
 * Requests listings from other routers at a limited rate, and remembers when, because the age of an
 * answer is measured from its request.
 */
final class PeerListings {
  /**
   * The listing of a peer has about 100 KB for a site of 400 servers, too much to transfer for each
   * change, and changes may wait this long.
   */
  static final Duration MIN_INTERVAL = Duration.ofMillis(1_500);

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

  /** Requests the listing of a router. */
  void ask(String address) {
    onAsked();
    transport.listFromPeer(address);
  }

  /** Requests the listing of a router unless one was requested within {@link #MIN_INTERVAL}. */
  void askUnlessRecent(String address) {
    if (!askedRecently()) {
      ask(address);
    }
  }

  /**
   * Receives the version of the configuration that another router has. The backup of the store that
   * was listed here may lack that version. The other router is asked for its listing after a delay,
   * in which a change that is on its way arrives.
   */
  void onPeerVersion(long version, String address) {
    if (checkingVersion || !view.isComplete() || version <= view.configurationVersion()) {
      return;
    }
    checkingVersion = true;
    timers.schedule(
        clock.nanoTime() + StoreFollower.PROPAGATION_SLACK.toNanos(),
        () -> {
          checkingVersion = false;
          if (version > view.configurationVersion()) {
            askUnlessRecent(address);
          }
        });
  }

  private boolean askedRecently() {
    long nowNanos = clock.nanoTime();
    return lastNanos.filter(last -> nowNanos - last < MIN_INTERVAL.toNanos()).isPresent();
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
   * Records an answer or a failure. Returns the earliest time at which its request may have been
   * made; empty if no request is open.
   */
  Optional<Long> onCompleted() {
    if (unanswered == 0) {
      return Optional.empty();
    }
    unanswered--;
    return Optional.of(oldestNanos);
  }
}

package io.arrowarch.core.feed;

import java.time.Duration;
import java.util.Optional;

/**
 * How long a follower of the store waits for what, so that a silent store or router is found, and
 * the view confirmed, within the bounds.
 */
final class FollowerTimes {
  /** The answer of a watch may take this much longer than its wait. */
  static final Duration ANSWER_SLACK = Duration.ofMillis(900);

  static final Duration PEER_ANSWER_SLACK = Duration.ofMillis(500);

  /** Changes come in groups; a pause after some lets the next call bring the rest. */
  static final Duration SHORTEST_PAUSE = Duration.ofMillis(400);

  /** A lookout that stands still must be noticed well within the time to act by a change. */
  static final Duration LONGEST_PEER_WAIT = Duration.ofSeconds(2);

  /** What a new connection and a call on it may take. */
  static final Duration RECONNECT_TIME = Duration.ofMillis(700);

  /** A view that is due to be confirmed is asked about at once, but not more often than this. */
  static final Duration SHORTEST_CONFIRMATION = Duration.ofMillis(300);

  /**
   * A lookout's view is confirmed at this part of the age that it may reach, so that a follower
   * that waits as long again still has time to ask elsewhere.
   */
  private static final double CONFIRMATION_FRACTION = 0.3;

  /** A lookout whose view is older than this part of what it may be is left for another. */
  private static final double OLD_LOOKOUT_FRACTION = 0.6;

  /** The pause, as a part of the time within which routers must act by a change. */
  private static final double PAUSE_FRACTION = 0.25;

  private static final Duration SHORTEST_WAIT = Duration.ofSeconds(1);

  private final Duration shortWait;
  private final Duration pause;
  private final Duration confirmed;
  private final Duration oldest;

  FollowerTimes(FeedBounds bounds) {
    // A silent watch is found and followed by another in time.
    Duration found = bounds.silence().minus(ANSWER_SLACK).minus(RECONNECT_TIME);
    this.shortWait = longer(SHORTEST_WAIT, found);
    this.pause = longer(SHORTEST_PAUSE, part(PAUSE_FRACTION, bounds.apply()));
    this.confirmed = part(CONFIRMATION_FRACTION, bounds.confirmation());
    this.oldest = part(OLD_LOOKOUT_FRACTION, bounds.confirmation());
  }

  /** The wait of a watch whose silence must be found soon. */
  Duration shortWait() {
    return shortWait;
  }

  /** The wait of a watch by which a view of this age is to be confirmed. */
  Duration confirmingWait(Optional<Duration> viewAge) {
    return shorter(shortWait, untilConfirmation(viewAge));
  }

  /** The wait of a watch at another router. */
  Duration peerWait() {
    return shorter(LONGEST_PEER_WAIT, confirmed);
  }

  /** The pause after changes, however old the view. */
  Duration pause() {
    return pause;
  }

  /** The pause after changes of a router whose view is to be confirmed. */
  Duration confirmingPause(Optional<Duration> viewAge) {
    return shorter(pause, untilConfirmation(viewAge));
  }

  /** Whether a lookout that leaves a view so old is of no use. */
  boolean isOld(Optional<Duration> viewAge) {
    return viewAge.filter(age -> age.compareTo(oldest) < 0).isEmpty();
  }

  private Duration untilConfirmation(Optional<Duration> viewAge) {
    Duration left = viewAge.map(confirmed::minus).orElse(Duration.ZERO);
    return longer(SHORTEST_CONFIRMATION, left);
  }

  private static Duration part(double fraction, Duration whole) {
    return Duration.ofNanos((long) (fraction * whole.toNanos()));
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? other : one;
  }
}

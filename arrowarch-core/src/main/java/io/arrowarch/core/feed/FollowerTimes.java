package io.arrowarch.core.feed;

import java.time.Duration;
import java.util.Optional;

/**
 * Waits and pauses of a follower of the store. They are chosen so that a store or router that does
 * not answer is detected, and the view confirmed, within the limits of {@link FeedBounds}.
 */
final class FollowerTimes {
  /** How much longer than its wait a watch of the store may take to be answered. */
  static final Duration ANSWER_SLACK = Duration.ofMillis(900);

  /** How much longer than its wait a watch of another router may take to be answered. */
  static final Duration PEER_ANSWER_SLACK = Duration.ofMillis(500);

  /** Changes come in groups. A pause lets the next call return the rest of a group at once. */
  static final Duration SHORTEST_PAUSE = Duration.ofMillis(400);

  /** A relay that hangs must be detected well before the time to act on a change is over. */
  static final Duration LONGEST_PEER_WAIT = Duration.ofSeconds(2);

  /** Allowance for a new connection and one call on it. */
  static final Duration RECONNECT_TIME = Duration.ofMillis(700);

  /**
   * The shortest wait of a call that confirms the view. A view that is due should be confirmed at
   * once; this wait limits the rate of such calls.
   */
  static final Duration SHORTEST_CONFIRMATION = Duration.ofMillis(300);

  /**
   * A relay confirms its view at this fraction of the largest allowed age, so that a follower that
   * waits as long again still has time to ask elsewhere.
   */
  private static final double CONFIRMATION_FRACTION = 0.3;

  /** A relay whose view is older than this fraction of the allowed age is no longer followed. */
  private static final double OLD_RELAY_FRACTION = 0.6;

  /** The pause after changes, as a fraction of the time within which routers must act on them. */
  private static final double PAUSE_FRACTION = 0.25;

  private static final Duration SHORTEST_WAIT = Duration.ofSeconds(1);

  private final Duration shortWait;
  private final Duration pause;
  private final Duration confirmationAge;
  private final Duration oldest;

  FollowerTimes(FeedBounds bounds) {
    // Leaves time to detect a watch that gets no answer, and to open another one.
    Duration found = bounds.silence().minus(ANSWER_SLACK).minus(RECONNECT_TIME);
    this.shortWait = longer(SHORTEST_WAIT, found);
    this.pause = longer(SHORTEST_PAUSE, fractionOf(PAUSE_FRACTION, bounds.apply()));
    this.confirmationAge = fractionOf(CONFIRMATION_FRACTION, bounds.confirmation());
    this.oldest = fractionOf(OLD_RELAY_FRACTION, bounds.confirmation());
  }

  /** The wait of a watch whose loss must be detected within {@link FeedBounds#silence}. */
  Duration shortWait() {
    return shortWait;
  }

  /** The wait of a watch that must end in time to confirm a view of this age. */
  Duration confirmingWait(Optional<Duration> viewAge) {
    return shorter(shortWait, untilConfirmation(viewAge));
  }

  /** The wait of a watch of another router. */
  Duration peerWait() {
    return shorter(LONGEST_PEER_WAIT, confirmationAge);
  }

  /** The pause after changes, whatever the age of the view. */
  Duration pause() {
    return pause;
  }

  /** The pause after changes for a router that must confirm its view. */
  Duration confirmingPause(Optional<Duration> viewAge) {
    return shorter(pause, untilConfirmation(viewAge));
  }

  /** Whether a view that came from a relay is too old for that relay to be followed. */
  boolean isOld(Optional<Duration> viewAge) {
    return viewAge.filter(age -> age.compareTo(oldest) < 0).isEmpty();
  }

  private Duration untilConfirmation(Optional<Duration> viewAge) {
    Duration left = viewAge.map(confirmationAge::minus).orElse(Duration.ZERO);
    return longer(SHORTEST_CONFIRMATION, left);
  }

  private static Duration fractionOf(double fraction, Duration whole) {
    return Duration.ofNanos((long) (fraction * whole.toNanos()));
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? other : one;
  }
}

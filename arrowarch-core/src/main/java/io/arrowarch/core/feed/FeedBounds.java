package io.arrowarch.core.feed;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Time limits for following the store.
 *
 * @param silence how soon the store must be followed again after it has become reachable
 * @param apply how soon after a change in the store every router must act on it
 * @param confirmation the age beyond which a view no longer decides whose requests may be served
 * @param everyView whether the view of every router must stay younger than {@code confirmation}, so
 *     that each router confirms its own in short intervals; otherwise only relays do
 */
public record FeedBounds(
    Duration silence, Duration apply, Duration confirmation, boolean everyView) {
  public FeedBounds {
    requireNonNull(silence, "silence is null");
    requireNonNull(apply, "apply is null");
    requireNonNull(confirmation, "confirmation is null");
  }
}

package io.arrowarch.core.feed;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Time limits for following the store.
 *
 * @param silence how soon the store must be followed again after it has become reachable; a watch
 *     that gets no answer is detected and replaced within this time
 * @param apply how soon after a change in the store every router must act on it
 * @param confirmation the age of a router's view beyond which the router no longer admits requests
 *     that need an API key
 * @param everyView whether the view of every router must stay younger than {@code confirmation}, so
 *     that each router confirms its own view at short intervals. Otherwise only relays confirm
 *     theirs at short intervals.
 */
public record FeedBounds(
    Duration silence, Duration apply, Duration confirmation, boolean everyView) {
  public FeedBounds {
    requireNonNull(silence, "silence is null");
    requireNonNull(apply, "apply is null");
    requireNonNull(confirmation, "confirmation is null");
  }
}

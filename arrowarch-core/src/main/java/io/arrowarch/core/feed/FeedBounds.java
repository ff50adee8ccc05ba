package io.arrowarch.core.feed;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Within what time the store must be followed.
 *
 * @param silence after the store is back, this long until it must be followed again
 * @param apply from a change in the store until every router must act by it
 * @param confirmation the age of the view beyond which it no longer tells who may be served
 * @param everyView whether each router's view must always be younger than that, so that each
 *     confirms it closely; else only lookouts do
 */
public record FeedBounds(
    Duration silence, Duration apply, Duration confirmation, boolean everyView) {
  public FeedBounds {
    requireNonNull(silence, "silence is null");
    requireNonNull(apply, "apply is null");
    requireNonNull(confirmation, "confirmation is null");
  }
}

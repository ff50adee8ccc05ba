package io.arrowarch.core.feed;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Within what time the store must be followed.
 *
 * @param silence after the store is back, this long until it must be followed again
 * @param apply from a change in the store until every router must act by it
 */
public record FeedBounds(Duration silence, Duration apply) {
  public FeedBounds {
    requireNonNull(silence, "silence is null");
    requireNonNull(apply, "apply is null");
  }
}

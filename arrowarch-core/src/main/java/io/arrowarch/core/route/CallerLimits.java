package io.arrowarch.core.route;

import java.time.Duration;

/**
 * What callers may send.
 *
 * @param headerTimeout the longest time that the header of a request may take to arrive
 * @param idleTimeout the longest rest of a connection between requests
 */
public record CallerLimits(
    int maximumHeaderBytes, int maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {
  /** In force until a configuration is known. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 << 10, 1 << 20, Duration.ofSeconds(5), Duration.ofSeconds(60));
}

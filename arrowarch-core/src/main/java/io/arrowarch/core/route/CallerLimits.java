package io.arrowarch.core.route;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param headerTimeout the longest time that the header of a request may take to arrive
 * @param idleTimeout the longest time that a connection may be idle between requests
 */
public record CallerLimits(
    int maximumHeaderBytes, int maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {
  /** The limits until a configuration is known. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 << 10, 1 << 20, Duration.ofSeconds(5), Duration.ofSeconds(60));
}

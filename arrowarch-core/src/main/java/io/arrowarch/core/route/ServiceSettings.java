package io.arrowarch.core.route;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Settings of one service.
 *
 * @param maximumConnections connections that each of its servers accepts from all routers together
 * @param warmUp how long a server is cold after its start
 * @param coldRequestsPerSecond requests per second that a cold server can take; 0 for no limit
 */
public record ServiceSettings(
    String name, int maximumConnections, Duration warmUp, double coldRequestsPerSecond) {
  public ServiceSettings {
    requireNonNull(name, "name is null");
    requireNonNull(warmUp, "warmUp is null");
  }

  /** Settings of a service whose servers are never cold. */
  public static ServiceSettings ofConnections(String name, int maximumConnections) {
    return new ServiceSettings(name, maximumConnections, Duration.ZERO, 0);
  }
}

package io.arrowarch.core.forward;

import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.route.ServiceSettings;
import io.arrowarch.core.server.ServerState;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Keeps this router's part of what a cold server bears: one that gets much more falls over. Each
 * router takes an even share of the bound; one whose share is below one request a second sends one
 * in as many seconds as that takes.
 */
final class ColdServerLimits {
  /** Routers count each other a moment apart, and what is sent in one second arrives in another. */
  private static final double SAFETY = 0.7;

  private static final double NANOS_PER_SECOND = 1e9;

  private final ColdServerRules rules;
  private final ToDoubleFunction<String> share;
  private final Map<String, Deque<Long>> sentByServer = new HashMap<>();
  private Optional<RoutingConfiguration> configuration = Optional.empty();

  /**
   * Creates limits of no configuration.
   *
   * @param share the part of a service's bound that is this router's, from 0 to 1
   */
  ColdServerLimits(ColdServerRules rules, ToDoubleFunction<String> share) {
    this.rules = rules;
    this.share = share;
  }

  void reconfigure(RoutingConfiguration updated) {
    configuration = Optional.of(updated);
  }

  /** Whether a server is warm, or bears one more request of this router now. */
  boolean admits(ServerState server, long nowNanos) {
    if (!server.isCold(nowNanos)) {
      sentByServer.remove(server.id());
      return true;
    }
    double rate = rateOf(server.entry().service());
    if (rate <= 0) {
      return true;
    }
    double own = SAFETY * rules.mostInASecond(rate) * share.applyAsDouble(server.entry().service());
    return own > 0 && count(server, windowNanos(own), nowNanos) < Math.max(1, Math.floor(own));
  }

  /** Notes a request to a server. */
  void onSent(ServerState server, long nowNanos) {
    if (server.isCold(nowNanos) && rateOf(server.entry().service()) > 0) {
      sentByServer.computeIfAbsent(server.id(), id -> new ArrayDeque<>()).addLast(nowNanos);
    }
  }

  /** The time in which this router may send a whole number of requests. */
  private static double windowNanos(double requestsPerSecond) {
    return requestsPerSecond < 1 ? NANOS_PER_SECOND / requestsPerSecond : NANOS_PER_SECOND;
  }

  private int count(ServerState server, double windowNanos, long nowNanos) {
    Deque<Long> sent = sentByServer.get(server.id());
    if (sent == null) {
      return 0;
    }
    while (!sent.isEmpty() && nowNanos - sent.peekFirst() >= windowNanos) {
      sent.removeFirst();
    }
    return sent.size();
  }

  /** Requests a second that a cold server of a service bears; 0 where none is told. */
  private double rateOf(String service) {
    return configuration
        .flatMap(known -> Optional.ofNullable(known.services().get(service)))
        .map(ServiceSettings::coldRequestsPerSecond)
        .orElse(0.0);
  }
}

package io.arrowarch.core.forward;

import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.route.ServiceSettings;
import io.arrowarch.core.server.ServerState;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Limits the rate at which this router sends requests to a cold server, which fails if it gets many
 * more than it can serve. This router's share of the limit is given by {@link
 * ConnectionShares#coldServerFraction}: all routers share it evenly, or the gatherers do if the
 * server's shard is gathered. A recently started router takes less. A router whose limit is below
 * one request per second sends one request in 1/limit seconds.
 */
final class ColdServerLimits {
  /**
   * Keeps the sum over all routers below the limit, although routers learn of each other at
   * different times, and requests that were sent in different seconds may arrive in the same one.
   */
  private static final double SAFETY_FACTOR = 0.7;

  private static final double NANOS_PER_SECOND = 1e9;

  /** A server that was sent nothing for this long has become warm or has gone. */
  private static final Duration RETENTION = Duration.ofHours(1);

  private final ColdServerRules rules;
  private final ToDoubleFunction<String> share;
  private final Map<String, Deque<Long>> sentNanosByServer = new HashMap<>();
  private Optional<RoutingConfiguration> configuration = Optional.empty();

  /**
   * Creates limits without a configuration, which admit every request.
   *
   * @param share this router's fraction of the limit of a service, from 0 to 1
   */
  ColdServerLimits(ColdServerRules rules, ToDoubleFunction<String> share) {
    this.rules = rules;
    this.share = share;
  }

  void reconfigure(RoutingConfiguration updated) {
    configuration = Optional.of(updated);
  }

  /**
   * Whether this router may send a request to a server now. Always true for a warm server, and for
   * a service without a configured rate.
   */
  boolean admits(ServerState server, long nowNanos) {
    if (!server.isCold(nowNanos)) {
      sentNanosByServer.remove(server.id());
      return true;
    }
    double rate = rateOf(server.entry().service());
    if (rate <= 0) {
      return true;
    }
    double ownRate =
        SAFETY_FACTOR
            * rules.maxRequestsPerSecond(rate)
            * share.applyAsDouble(server.entry().service());
    return ownRate > 0
        && count(server, windowNanos(ownRate), nowNanos) < Math.max(1, Math.floor(ownRate));
  }

  /** Records that a request was sent to a server. */
  void onSent(ServerState server, long nowNanos) {
    if (server.isCold(nowNanos) && rateOf(server.entry().service()) > 0) {
      if (!sentNanosByServer.containsKey(server.id())) {
        dropOld(nowNanos);
      }
      sentNanosByServer.computeIfAbsent(server.id(), id -> new ArrayDeque<>()).addLast(nowNanos);
    }
  }

  private void dropOld(long nowNanos) {
    sentNanosByServer
        .values()
        .removeIf(sent -> sent.isEmpty() || nowNanos - sent.peekLast() > RETENTION.toNanos());
  }

  /** The window in which requests are counted: a second, or longer so that one request fits. */
  private static double windowNanos(double requestsPerSecond) {
    return requestsPerSecond < 1 ? NANOS_PER_SECOND / requestsPerSecond : NANOS_PER_SECOND;
  }

  private int count(ServerState server, double windowNanos, long nowNanos) {
    Deque<Long> sent = sentNanosByServer.get(server.id());
    if (sent == null) {
      return 0;
    }
    while (!sent.isEmpty() && nowNanos - sent.peekFirst() >= windowNanos) {
      sent.removeFirst();
    }
    return sent.size();
  }

  /** Requests per second that a cold server of a service can bear; 0 if not configured. */
  private double rateOf(String service) {
    return configuration
        .flatMap(known -> Optional.ofNullable(known.services().get(service)))
        .map(ServiceSettings::coldRequestsPerSecond)
        .orElse(0.0);
  }
}

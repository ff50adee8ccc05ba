package io.arrowarch.node.forward;

import io.arrowarch.core.forward.ForwardingRouter;
import io.arrowarch.core.memory.CallerAccount;
import io.arrowarch.node.PeerEndpoint;
import java.time.Duration;

/** The figures of a router that are read when they are asked for. */
final class NodeGauges {
  private static final double MILLIS_PER_SECOND = 1e3;

  /** The age of a view that was never complete. */
  private static final double NEVER = -1;

  private final ForwardMetrics metrics;

  NodeGauges(ForwardMetrics metrics) {
    this.metrics = metrics;
  }

  void bind(
      ForwardingRouter router,
      ServerConnections connections,
      StoreClient store,
      PeerEndpoint endpoint,
      MalformedResponses malformed,
      CallerAccount account) {
    metrics.gauge("arrowarch.callers.connections", account, CallerAccount::connections);
    metrics.gauge("arrowarch.callers.held.bytes", account, CallerAccount::heldBytes);
    metrics.gauge("arrowarch.callers.refused", account, CallerAccount::refused);
    metrics.gauge("arrowarch.callers.evicted", account, CallerAccount::evicted);
    for (MalformedResponses.PeerKind kind : MalformedResponses.PeerKind.values()) {
      metrics.gauge(
          "arrowarch.responses.malformed." + kind.logName(),
          malformed,
          responses -> responses.count(kind));
    }
    metrics.gauge("arrowarch.connections.opened", connections, ServerConnections::opened);
    metrics.gauge("arrowarch.connections.failed", connections, ServerConnections::failed);
    metrics.gauge("arrowarch.store.listing.calls", store, StoreClient::listingCalls);
    metrics.gauge("arrowarch.store.watch.calls", store, StoreClient::watchCalls);
    metrics.gauge("arrowarch.peer.feed.calls", store, StoreClient::peerCalls);
    metrics.gauge("arrowarch.peer.feed.bytes", store, StoreClient::peerBytes);
    metrics.gauge("arrowarch.peer.sent.bytes", endpoint, PeerEndpoint::bytesSent);
    metrics.gauge("arrowarch.view.age.seconds", router, NodeGauges::viewAgeSeconds);
    metrics.gauge(
        "arrowarch.tenants.refused", router, node -> node.coordinator().tenantLimiter().refused());
    metrics.gauge(
        "arrowarch.suspects.known", router, node -> node.coordinator().suspects().count());
    metrics.gauge(
        "arrowarch.suspects.refused", router, node -> node.coordinator().suspects().refused());
    metrics.gauge(
        "arrowarch.zones.evacuated", router, node -> node.directory().evacuatedZones().size());
    metrics.gauge("arrowarch.store.era", router, node -> node.follower().view().position().era());
    metrics.gauge("arrowarch.entries.malformed", router, ForwardingRouter::malformedEntries);
    metrics.gauge("arrowarch.ready", router, node -> node.isReady() ? 1 : 0);
    metrics.gauge(
        "arrowarch.requests.in.progress", router, node -> node.coordinator().inProgress());
  }

  private static double viewAgeSeconds(ForwardingRouter router) {
    return router
        .follower()
        .view()
        .age()
        .map(Duration::toMillis)
        .map(millis -> millis / MILLIS_PER_SECOND)
        .orElse(NEVER);
  }
}

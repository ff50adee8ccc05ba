package io.arrowarch.core.router;

import static java.util.Objects.requireNonNull;

import io.arrowarch.core.peer.PeerTransport;
import io.arrowarch.core.query.AttemptTransport;
import io.arrowarch.core.replica.ProbeTransport;

/** The interfaces through which a router core sends messages and requests. */
public record RouterTransports(
    AttemptTransport attempts,
    ProbeTransport probes,
    PeerTransport peers,
    PlatformTransport platform) {
  public RouterTransports {
    requireNonNull(attempts, "attempts is null");
    requireNonNull(probes, "probes is null");
    requireNonNull(peers, "peers is null");
    requireNonNull(platform, "platform is null");
  }
}

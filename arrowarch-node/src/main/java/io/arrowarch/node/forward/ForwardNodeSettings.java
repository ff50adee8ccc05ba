package io.arrowarch.node.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.forward.ForwardOptions;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.http.LimitedAccept;
import io.vertx.core.transport.Transport;
import java.time.Duration;
import java.util.Optional;

/**
 * The settings of a process that passes requests on.
 *
 * @param id kept over restarts
 * @param callers address for callers
 * @param readiness address where the platform asks whether new connections are welcome
 * @param peers address for other routers, TCP and UDP
 * @param metrics address of metrics and status; empty: none
 * @param store address of the platform's store
 * @param contacts peer addresses of other routers to try first
 * @param descriptors the most that the process may open
 * @param stopGrace how long after SIGTERM the process must have ended
 */
public record ForwardNodeSettings(
    String id,
    SocketAddressSetting callers,
    SocketAddressSetting readiness,
    SocketAddressSetting peers,
    Optional<SocketAddressSetting> metrics,
    SocketAddressSetting store,
    ImmutableList<SocketAddressSetting> contacts,
    int descriptors,
    Duration stopGrace,
    ForwardOptions options) {
  /** The rest is for servers, other routers, the store, the platform, and files. */
  private static final int CALLERS_DESCRIPTORS_DIVISOR = 2;

  private static final int OTHERS_DESCRIPTORS_DIVISOR = 8;

  /** Callers that come while there are too many connections are accepted, so that others leave. */
  private static final int CALLERS_IN_TURN = 32;

  /** The most connections of callers that stay open at the same time. */
  int maximumCallerConnections() {
    return descriptors / CALLERS_DESCRIPTORS_DIVISOR;
  }

  /** A transport that leaves descriptors to the connections that the process opens itself. */
  public Transport transport() {
    return new LimitedAccept(
        callers.port(),
        maximumCallerConnections() + CALLERS_IN_TURN,
        descriptors / OTHERS_DESCRIPTORS_DIVISOR);
  }

  /** Whether a change to other settings needs a new process: addresses are bound once. */
  public boolean needsRestartFor(ForwardNodeSettings changed) {
    return !callers.equals(changed.callers)
        || !readiness.equals(changed.readiness)
        || !peers.equals(changed.peers)
        || !metrics.equals(changed.metrics)
        || !store.equals(changed.store)
        || !id.equals(changed.id);
  }
}

package io.arrowarch.core.replica;

import io.arrowarch.core.topology.Backend;

/** Asks back ends for their reports. A probe that is not answered has no further effect. */
public interface ProbeTransport {
  /** Sends a probe. */
  void probe(Backend backend);
}

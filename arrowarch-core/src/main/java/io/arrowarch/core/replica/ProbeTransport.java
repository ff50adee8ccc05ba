package io.arrowarch.core.replica;

import io.arrowarch.core.topology.Backend;

/** Asks back ends for their report; a probe that is not answered is not reported. */
public interface ProbeTransport {
  /** Sends a probe. */
  void probe(Backend backend);
}

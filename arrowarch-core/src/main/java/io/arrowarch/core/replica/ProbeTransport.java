package io.arrowarch.core.replica;

import io.arrowarch.core.topology.Backend;

/** Asks back ends for their reports. An unanswered probe is not reported. */
public interface ProbeTransport {
  /** Sends a probe. */
  void probe(Backend backend);
}

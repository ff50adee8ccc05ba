package io.arrowarch.node.forward;

import io.vertx.core.MultiMap;
import java.time.Duration;

/** Headers of both outer sides, for requests that a process sends through itself. */
public interface WarmUpCodec {
  /** Writes the headers that a caller would send. */
  void encodeRequest(String id, Duration timeLeft, MultiMap headers);

  /** Writes the headers that a server would answer with. */
  void encodeReply(MultiMap request, MultiMap reply);

  /** An answer of the store with a configuration and a server. */
  byte[] listing();
}

package io.arrowarch.node;

import io.arrowarch.core.peer.PeerMessage;
import io.vavr.control.Try;

/** The form of messages between routers. */
public interface PeerCodec {
  /** Encodes a message. */
  byte[] encode(PeerMessage message);

  /** Decodes a message; a failure when the bytes are not exactly one. */
  Try<PeerMessage> decode(byte[] bytes);
}

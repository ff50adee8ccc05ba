package io.arrowarch.node;

import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.wire.WireCodec;
import io.vavr.control.Try;

/** The form of messages between routers. */
public interface PeerCodec {
  /** Encodes a message. */
  byte[] encode(PeerMessage message);

  /** Decodes a message; a failure when the bytes are not exactly one. */
  Try<PeerMessage> decode(byte[] bytes);

  /** Every message, by Jackson's data binding. */
  PeerCodec ALL_MESSAGES =
      new PeerCodec() {
        @Override
        public byte[] encode(PeerMessage message) {
          return WireCodec.encode(message);
        }

        @Override
        public Try<PeerMessage> decode(byte[] bytes) {
          return WireCodec.decode(bytes, PeerMessage.class);
        }
      };
}

package io.arrowarch.node;

import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.wire.WireCodec;
import io.vavr.control.Try;

/** JSON of every message between routers, by Jackson's data binding. */
public final class DataBindingPeerCodec implements PeerCodec {
  @Override
  public byte[] encode(PeerMessage message) {
    return WireCodec.encode(message);
  }

  @Override
  public Try<PeerMessage> decode(byte[] bytes) {
    return WireCodec.decode(bytes, PeerMessage.class);
  }
}

package io.arrowarch.core.peer;

/** Sends messages to other routers; they may be lost. */
public interface PeerTransport {
  /** Sends a message to a router's peer address. */
  void send(String address, PeerMessage message);
}

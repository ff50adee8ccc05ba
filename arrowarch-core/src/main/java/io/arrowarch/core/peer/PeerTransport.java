package io.arrowarch.core.peer;

/** Carries messages to other routers, without any promise of delivery. */
public interface PeerTransport {
  /** Sends a message to a router's peer address. */
  void send(String address, PeerMessage message);
}

package io.arrowarch.core.peer;

import com.google.common.collect.ImmutableList;

/** Finds the other routers and sends messages to them. */
public interface PeerGroup {
  /**
   * The other routers in state alive, without those that are suspected, leaving or dead; the same
   * list instance until a known router changes.
   */
  ImmutableList<LiveRouter> liveRouters();

  /** Sends a message to the peer address of a router; it may be lost. */
  void send(String address, PeerBody body);

  /** The group of a router that has no others. */
  PeerGroup NONE =
      new PeerGroup() {
        @Override
        public ImmutableList<LiveRouter> liveRouters() {
          return ImmutableList.of();
        }

        @Override
        public void send(String address, PeerBody body) {}
      };
}

package io.arrowarch.core.peer;

import com.google.common.collect.ImmutableList;

/** The other routers, as those that exchange messages with them need them. */
public interface PeerGroup {
  /** The others that answer; the same list until one of them changes. */
  ImmutableList<NearbyRouter> nearby();

  /** Sends a message, without any promise of delivery. */
  void send(String address, PeerBody body);

  /** Of a router that is alone. */
  PeerGroup NONE =
      new PeerGroup() {
        @Override
        public ImmutableList<NearbyRouter> nearby() {
          return ImmutableList.of();
        }

        @Override
        public void send(String address, PeerBody body) {}
      };
}

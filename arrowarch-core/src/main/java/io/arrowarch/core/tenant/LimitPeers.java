package io.arrowarch.core.tenant;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.NearbyRouter;
import io.arrowarch.core.peer.PeerBody;

/** The other routers, as the counting of limits needs them. */
public interface LimitPeers {
  /** The others that answer; the same list until one of them changes. */
  ImmutableList<NearbyRouter> nearby();

  /** Sends a message, without any promise of delivery. */
  void send(String address, PeerBody body);

  /** Of a router that is alone. */
  LimitPeers NONE =
      new LimitPeers() {
        @Override
        public ImmutableList<NearbyRouter> nearby() {
          return ImmutableList.of();
        }

        @Override
        public void send(String address, PeerBody body) {}
      };
}

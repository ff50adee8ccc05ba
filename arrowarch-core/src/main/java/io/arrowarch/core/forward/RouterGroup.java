package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.PeerGroup;

/** The routers that share servers and budgets, as one of them sees them. */
public interface RouterGroup {
  /** How many there are, this one included; more rather than fewer when unknown. */
  int count();

  /** The others that answer; the same list until one of them changes. */
  ImmutableList<LiveRouter> liveRouters();

  /** Whether there are others, or were lately, whether they answer or not. */
  default boolean hasOthers() {
    return !liveRouters().isEmpty();
  }

  /** Peer addresses of others that are there first, as settings say; none for one of these. */
  default ImmutableList<String> contacts() {
    return ImmutableList.of();
  }

  /** How limits of tenants are counted with them. */
  default PeerGroup peers() {
    return PeerGroup.NONE;
  }

  /** Hands searches to them. */
  default DelegateTransport transport() {
    return DelegateTransport.NONE;
  }

  /** A group without others that searches could be handed to. */
  static RouterGroup ofCount(int count) {
    return new RouterGroup() {
      @Override
      public int count() {
        return count;
      }

      @Override
      public ImmutableList<LiveRouter> liveRouters() {
        return ImmutableList.of();
      }
    };
  }
}

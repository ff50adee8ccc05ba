package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.PeerGroup;

/** The routers that share servers and budgets, as known to this router. */
public interface RouterGroup {
  /** How many there are, this one included; an overestimate while the number is not known. */
  int count();

  /** The other routers that answer. The list is the same instance until one of them changes. */
  ImmutableList<LiveRouter> liveRouters();

  /**
   * Whether other routers exist or existed recently, even if none answers. The default knows only
   * of those that answer; a group that remembers others overrides it.
   */
  default boolean hasOthers() {
    return !liveRouters().isEmpty();
  }

  /**
   * Peer addresses of the routers named in the settings as contacts; empty for a contact itself.
   * Contacts are started first, so a router that starts requests its listing from them.
   */
  default ImmutableList<String> contacts() {
    return ImmutableList.of();
  }

  /** The routers among which requests of tenants are counted. */
  default PeerGroup peers() {
    return PeerGroup.NONE;
  }

  /** Delegates searches to the other routers. */
  default DelegateTransport transport() {
    return DelegateTransport.NONE;
  }

  /** A group of the given size that has no router to delegate searches to. */
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

package io.arrowarch.node.forward;

import io.arrowarch.core.feed.StoreFollower;
import io.arrowarch.core.forward.RouterPeers;
import io.arrowarch.core.peer.StoreNews;
import io.arrowarch.core.store.StoreRevision;
import java.time.Duration;
import java.util.function.Supplier;

/** What the follower of the store knows, and what it hears of others. */
final class FollowedRevisions implements RouterPeers.StoreRevisions {
  private final Supplier<StoreFollower> follower;

  FollowedRevisions(Supplier<StoreFollower> follower) {
    this.follower = follower;
  }

  @Override
  public StoreNews news() {
    return follower.get().view().news();
  }

  @Override
  public void onConfirmedByPeer(StoreRevision position, long askedNanos, Duration age) {
    follower.get().view().onConfirmedByPeer(position, askedNanos, age);
  }

  @Override
  public void onSeenByPeer(StoreNews news, String address, boolean near) {
    follower.get().onPeerNews(news, address, near);
  }
}

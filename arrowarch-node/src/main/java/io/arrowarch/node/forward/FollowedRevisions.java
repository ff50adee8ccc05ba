package io.arrowarch.node.forward;

import io.arrowarch.core.feed.StoreFollower;
import io.arrowarch.core.forward.RouterPeers;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/** The revisions that the follower of the store has seen, and what it hears of others. */
final class FollowedRevisions implements RouterPeers.StoreRevisions {
  private final Supplier<StoreFollower> follower;

  FollowedRevisions(Supplier<StoreFollower> follower) {
    this.follower = follower;
  }

  @Override
  public long newestSeen() {
    return follower.get().view().newestRevision();
  }

  @Override
  public long position() {
    return follower.get().view().position();
  }

  @Override
  public Optional<Duration> viewAge() {
    return follower.get().view().age();
  }

  @Override
  public void onConfirmedByPeer(long position, long askedNanos, Duration age) {
    follower.get().view().onConfirmedByPeer(position, askedNanos, age);
  }

  @Override
  public void onSeenByPeer(long revision, String address, boolean near) {
    follower.get().onPeerRevision(revision, address, near);
  }
}

package io.arrowarch.core.suspect;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.PeerGroup;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;

/**
 * Which routers count the ends under a request that is not suspected yet, and which one may try a
 * request that is: the first by a hash of both, so that routers that know the same others agree.
 */
final class ResponsibleRouters {
  /** Routers that count a request, so that one that dies does not take its ends along. */
  private static final int COUNTING = 2;

  private static final HashFunction HASH = Hashing.murmur3_128();

  private final String ownId;
  private final PeerGroup peers;

  ResponsibleRouters(String ownId, PeerGroup peers) {
    this.ownId = ownId;
    this.peers = peers;
  }

  /** Whether this router is the first. */
  boolean isSelf(RequestKey key) {
    long own = weight(key, ownId);
    return peers.liveRouters().stream().noneMatch(router -> weight(key, router.id()) < own);
  }

  /** Peer addresses of the others that count a request. */
  ImmutableList<String> others(RequestKey key) {
    int others = isSelf(key) ? COUNTING - 1 : COUNTING;
    return peers.liveRouters().stream()
        .sorted(Comparator.comparingLong(router -> weight(key, router.id())))
        .limit(others)
        .map(LiveRouter::address)
        .collect(ImmutableList.toImmutableList());
  }

  private static long weight(RequestKey key, String router) {
    return HASH.newHasher()
        .putString(key.text(), StandardCharsets.UTF_8)
        .putString(router, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}

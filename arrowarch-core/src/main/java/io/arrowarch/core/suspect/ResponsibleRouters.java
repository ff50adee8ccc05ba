package io.arrowarch.core.suspect;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.PeerGroup;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;

/**
 * Assigns requests to routers by rendezvous hashing, so that routers that know the same peers
 * agree. The first two routers for a request collect the crashes of servers that ran it, until it
 * is suspected. After the canary period only the first one may run its canary.
 */
final class ResponsibleRouters {
  /** More than one, so that the crashes are still known after a router dies. */
  private static final int COLLECTING_ROUTERS = 2;

  private static final HashFunction HASH = Hashing.murmur3_128();

  private final String ownId;
  private final PeerGroup peers;

  ResponsibleRouters(String ownId, PeerGroup peers) {
    this.ownId = ownId;
    this.peers = peers;
  }

  /** Whether this router is the first for a request. */
  boolean isSelf(RequestKey key) {
    long own = weight(key, ownId);
    return peers.liveRouters().stream().noneMatch(router -> weight(key, router.id()) < own);
  }

  /**
   * Returns the peer addresses of the routers to which this one reports crashes of a request: the
   * first two of the others. If this router is the first, it reports only to the next one. If it is
   * the second, it reports to the first and the third.
   */
  ImmutableList<String> others(RequestKey key) {
    int others = isSelf(key) ? COLLECTING_ROUTERS - 1 : COLLECTING_ROUTERS;
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

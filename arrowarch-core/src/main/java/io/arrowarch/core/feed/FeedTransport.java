package io.arrowarch.core.feed;

import io.arrowarch.core.store.StoreRevision;
import java.time.Duration;
import java.util.Optional;

/**
 * Reads the platform's store. Each call is answered at most once, by {@link StoreFollower#onAnswer}
 * or {@link StoreFollower#onFailure} with its number. A call that is not answered when the next
 * begins is given up, with its connection.
 */
public interface FeedTransport {
  /** Reads a page, linearizable, from the beginning or after a key. */
  void list(long call, Optional<String> afterKey, Duration timeout);

  /** Asks for changes after a revision; answered when there is one or the wait is over. */
  void watch(long call, StoreRevision after, Duration longestWait, Duration timeout);

  /**
   * Asks a router that watches the store for changes after a revision; answered by {@link
   * StoreFollower#onPeerChanges} or {@link StoreFollower#onFailure}.
   *
   * @param address IP:PORT for peers
   */
  void watchPeer(
      long call, String address, StoreRevision after, Duration longestWait, Duration timeout);

  /**
   * Asks another router for all that it holds; answered by {@link StoreFollower#onPeerListing}, or
   * by {@link StoreFollower#onPeerListingFailed}.
   *
   * @param address IP:PORT for peers
   */
  void listFromPeer(String address);
}

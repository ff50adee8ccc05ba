package io.arrowarch.core.feed;

import io.arrowarch.core.store.StoreRevision;
import java.time.Duration;
import java.util.Optional;

/**
 * Reads the platform's store. Each call is completed at most once, by {@link
 * StoreFollower#onAnswer} or {@link StoreFollower#onFailure} with its number. A call that is still
 * open when the next one begins is cancelled, and its connection closed.
 */
public interface FeedTransport {
  /** Reads a page of the listing, linearizably, from the beginning or after a key. */
  void list(long call, Optional<String> afterKey, Duration timeout);

  /** Watches for changes after a revision; answered on the first one or when the wait ends. */
  void watch(long call, StoreRevision after, Duration longestWait, Duration timeout);

  /**
   * Watches another router for changes after a revision; completed by {@link
   * StoreFollower#onPeerChanges} or {@link StoreFollower#onFailure}.
   *
   * @param address IP:PORT for peers
   */
  void watchPeer(
      long call, String address, StoreRevision after, Duration longestWait, Duration timeout);

  /**
   * Asks another router for its listing; completed by {@link StoreFollower#onPeerListing} or {@link
   * StoreFollower#onPeerListingFailed}.
   *
   * @param address IP:PORT for peers
   */
  void listFromPeer(String address);
}

package io.arrowarch.core.feed;

import io.arrowarch.core.store.StoreRevision;
import java.util.Optional;

/**
 * Told what the store says, in an order in which no key goes back to an earlier revision. Contents
 * may go back where the store came back from an older copy.
 */
public interface FeedListener {
  /** A key was written. */
  void onWritten(String key, FeedEntry entry, StoreRevision revision);

  /** A key is no longer there. */
  void onDeleted(String key, StoreRevision revision);

  /** What one answer says has been told. */
  void onAnswerTold();

  /** Everything that the store holds has been told once, at the first time and after each gap. */
  void onListed(StoreRevision revision);

  /**
   * Changes are heard from elsewhere from now on.
   *
   * @param lookout the router that is followed, as IP:PORT for peers; empty: the store itself
   */
  void onSource(Optional<String> lookout);

  /** The store gave no answer, after it had. */
  void onLost(FeedFailure failure);

  /** The store can't tell what has changed since the revision that this router knows. */
  void onHistoryGone(StoreRevision revision);

  /**
   * The store has come back from an older copy, and is listed anew.
   *
   * @param from what this router knew
   * @param to of the first answer of the new era
   */
  void onNewEra(StoreRevision from, StoreRevision to);

  /** Other routers have seen a later revision for some time: the store is asked anew. */
  void onBehind(StoreRevision revision);

  /** What another router holds has been taken, since the store does not answer this one. */
  void onListedByPeer(StoreRevision revision);

  /** Another router that was asked for what it holds gave no usable answer. */
  void onPeerListingFailed();

  /** The store answers again. */
  void onRegained();
}

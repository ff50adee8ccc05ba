package io.arrowarch.core.feed;

/** Told what the store says, in an order in which no key goes back to an earlier revision. */
public interface FeedListener {
  /** A key was written. */
  void onWritten(String key, FeedEntry entry, long revision);

  /** A key is no longer there. */
  void onDeleted(String key, long revision);

  /** What one answer says has been told. */
  void onAnswerTold();

  /** Everything that the store holds has been told once, at the first time and after each gap. */
  void onListed(long revision);

  /** The store gave no answer, after it had. */
  void onLost(FeedFailure failure);

  /** The store can't tell what has changed since the revision that this router knows. */
  void onHistoryGone(long revision);

  /** The store says for the first time that it is in this era. */
  void onEra(long era);

  /** An entry was read and not told: a later revision of its key is known. */
  void onLeftOut(FeedItem item, long knownRevision);

  /** Other routers have seen a later revision for some time: the store is asked anew. */
  void onBehind(long revision);

  /** What another router holds has been taken, since the store does not answer this one. */
  void onListedByPeer(long revision);

  /** Another router that was asked for what it holds gave no usable answer. */
  void onPeerListingFailed();

  /** The store answers again. */
  void onRegained();
}

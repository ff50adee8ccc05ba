package io.arrowarch.core.feed;

import java.util.Optional;

/** Where a follower hears of changes: from the store, or from a router that watches it closely. */
public interface FeedSource {
  /** Whether this router watches the store closely, for itself and others. */
  boolean isLookout();

  /** Whether others follow this router, so that its view must not grow old. */
  boolean isFollowed();

  /** Whether this router is to hear of changes from lookouts, though none may answer now. */
  boolean hasLookouts();

  /** The router to follow, as IP:PORT for peers; empty to follow the store itself. */
  Optional<String> lookoutToFollow();

  /**
   * A router that may hold all already, to ask for it at the start; another one each time. Empty:
   * the store is asked.
   */
  Optional<String> routerToAskAtStart();

  /**
   * A lookout that may tell all after changes were missed, though it has failed lately: the store
   * has perhaps failed it too. Another one each time; empty where this router must ask the store.
   */
  Optional<String> lookoutToAskAfterGap();

  /** Notes that a router that was followed gave no usable answer. */
  void onFailed(String address);
}

package io.arrowarch.core.feed;

import java.util.Optional;

/**
 * Chooses where a follower receives changes from: the store itself, or a watch relay. A watch
 * relay, or relay for short, is a router that watches the store directly and passes the changes on
 * to other routers of its zone.
 */
public interface FeedSource {
  /** Whether this router is a relay. */
  boolean isRelay();

  /** Whether other routers follow this one. If so, its view must be kept fresh. */
  boolean isFollowed();

  /** Whether this router should follow relays, even if none answers at present. */
  boolean usesRelays();

  /** The relay to follow, as IP:PORT for peers; empty to follow the store itself. */
  Optional<String> relayToFollow();

  /**
   * A router to ask for a full listing at the start, a different one on each call. Empty if the
   * store should be listed.
   */
  Optional<String> routerToAskAtStart();

  /**
   * A relay to ask for a full listing after changes were missed, a different one on each call. It
   * may be one that failed recently: the store may have failed that one too. Empty if this router
   * must list the store.
   */
  Optional<String> relayToAskAfterGap();

  /** Reports that the router that was followed gave no usable answer. */
  void onFailed(String address);
}

package io.arrowarch.core.feed;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.store.StoreRevision;

/**
 * A page of a listing, or the changes that a watch has seen.
 *
 * @param revision the store's revision that the answer is from
 * @param hasMore whether a listing goes on after the last key; false for a watch
 */
public record FeedAnswer(ImmutableList<FeedItem> items, StoreRevision revision, boolean hasMore) {}

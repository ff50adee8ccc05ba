package io.arrowarch.core.feed;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.store.StoreRevision;

/**
 * A page of a listing, or the changes that a watch returned.
 *
 * @param revision the store's revision as of which the answer was given
 * @param hasMore whether the listing has another page after the last key; false for a watch
 */
public record FeedAnswer(ImmutableList<FeedItem> items, StoreRevision revision, boolean hasMore) {}

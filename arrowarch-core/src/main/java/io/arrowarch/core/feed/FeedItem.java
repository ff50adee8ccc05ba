package io.arrowarch.core.feed;

import java.util.Optional;

/**
 * One key of the store as of one revision.
 *
 * @param entry empty when the key was deleted by that revision
 */
public record FeedItem(String key, long revision, Optional<FeedEntry> entry) {}

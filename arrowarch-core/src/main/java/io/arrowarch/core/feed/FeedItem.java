package io.arrowarch.core.feed;

import java.util.Optional;

/**
 * One key of the store as of one revision.
 *
 * @param entry empty when the key was deleted by that revision
 * @param value as the store wrote it, to pass on to other routers; empty when the key was deleted
 */
public record FeedItem(String key, long revision, Optional<FeedEntry> entry, String value) {}

package io.arrowarch.core.feed;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What a router holds of the store, with the deletions of late, so that others can follow it. */
final class FeedContents {
  /** Deletions that are remembered; followers that miss more take a listing. */
  private static final int REMEMBERED_DELETIONS = 1_000;

  private final FeedListener listener;
  private final Map<String, FeedItem> items = new LinkedHashMap<>();
  private final Map<String, FeedItem> deletions = new LinkedHashMap<>();

  /** Deletions up to this revision may not be known. */
  private long deletionsForgottenUntil = Long.MAX_VALUE;

  private long newestRevision;

  /** Creates empty contents; the listener is told each change once. */
  FeedContents(FeedListener listener) {
    this.listener = listener;
  }

  /** The newest change or deletion that was taken; 0 before the first. */
  long newestRevision() {
    return newestRevision;
  }

  /** All keys and their values. */
  ImmutableList<FeedItem> all() {
    return ImmutableList.copyOf(items.values());
  }

  /** What was written and deleted after a revision; empty when deletions have been forgotten. */
  Optional<ImmutableList<FeedItem>> after(long revision) {
    if (revision < deletionsForgottenUntil) {
      return Optional.empty();
    }
    ImmutableList.Builder<FeedItem> later = ImmutableList.builder();
    for (FeedItem item : items.values()) {
      if (item.revision() > revision) {
        later.add(item);
      }
    }
    for (FeedItem deletion : deletions.values()) {
      if (deletion.revision() > revision) {
        later.add(deletion);
      }
    }
    return Optional.of(later.build());
  }

  /** Takes an item, unless a later revision of its key is held. */
  void apply(FeedItem item) {
    newestRevision = Math.max(newestRevision, item.revision());
    FeedItem known = items.get(item.key());
    if (known != null && known.revision() >= item.revision()) {
      if (!known.equals(item)) {
        listener.onLeftOut(item, known.revision());
      }
      return;
    }
    if (item.entry().isPresent()) {
      items.put(item.key(), item);
      deletions.remove(item.key());
      listener.onWritten(item.key(), item.entry().get(), item.revision());
    } else {
      // A page of a listing may have come after the deletion: others may still hold the key.
      delete(item.key(), item.revision());
    }
  }

  /** A listing as of a revision is complete: other keys that are not newer have gone. */
  void retain(Set<String> listed, long revision) {
    for (FeedItem item : all()) {
      if (!listed.contains(item.key()) && item.revision() <= revision) {
        delete(item.key(), revision);
      }
    }
    if (deletionsForgottenUntil == Long.MAX_VALUE) {
      deletionsForgottenUntil = revision;
    }
  }

  private void delete(String key, long revision) {
    FeedItem held = items.remove(key);
    deletions.put(key, new FeedItem(key, revision, Optional.empty(), ""));
    if (deletions.size() > REMEMBERED_DELETIONS) {
      FeedItem oldest = deletions.values().iterator().next();
      deletions.remove(oldest.key());
      deletionsForgottenUntil = Math.max(deletionsForgottenUntil, oldest.revision());
    }
    if (held != null) {
      listener.onDeleted(key, revision);
    }
  }
}

package io.arrowarch.core.feed;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.store.StoreRevision;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a router holds of the store, with the deletions of late, so that others can follow it. What
 * an older copy of the store contradicts is told to the listener later than it is held here.
 */
final class FeedContents {
  /** Deletions that are remembered; followers that miss more take a listing. */
  private static final int REMEMBERED_DELETIONS = 1_000;

  private final FeedListener listener;
  private final ContradictedKeys contradicted;
  private final Map<String, FeedItem> items = new LinkedHashMap<>();
  private final Map<String, FeedItem> deletions = new LinkedHashMap<>();

  /** Deletions up to this revision may not be known; empty before the first listing. */
  private Optional<StoreRevision> deletionsForgottenUntil = Optional.empty();

  private StoreRevision newestRevision = StoreRevision.NONE;
  private long configurationVersion;
  private long changes;

  /** Creates empty contents; the listener is told each change once. */
  FeedContents(FeedListener listener, ContradictedKeys contradicted) {
    this.listener = listener;
    this.contradicted = contradicted;
  }

  /** The newest change or deletion that was taken. */
  StoreRevision newestRevision() {
    return newestRevision;
  }

  /** Rises whenever something that is held changes. */
  long changes() {
    return changes;
  }

  /** The version of the configuration that is held; 0 without one. */
  long configurationVersion() {
    return configurationVersion;
  }

  /** All keys and their values. */
  ImmutableList<FeedItem> all() {
    return ImmutableList.copyOf(items.values());
  }

  /**
   * What was written and deleted after a revision; empty when that is not known, since deletions
   * have been forgotten or the revision is of another era.
   */
  Optional<ImmutableList<FeedItem>> after(StoreRevision revision) {
    if (deletionsForgottenUntil.filter(until -> !until.isAfter(revision)).isEmpty()
        || !revision.isOfEraOf(newestRevision)) {
      return Optional.empty();
    }
    ImmutableList.Builder<FeedItem> later = ImmutableList.builder();
    for (FeedItem item : items.values()) {
      if (item.revision().isAfter(revision)) {
        later.add(item);
      }
    }
    for (FeedItem deletion : deletions.values()) {
      if (deletion.revision().isAfter(revision)) {
        later.add(deletion);
      }
    }
    return Optional.of(later.build());
  }

  /** Takes a change, unless a later one of its key is held. */
  void apply(FeedItem item) {
    if (take(item) && item.entry().isPresent()) {
      contradicted.onWritten(item.key());
      listener.onWritten(item.key(), item.entry().get(), item.revision());
    }
  }

  /** Takes an item of a listing, which may be from a copy that is older than what is known. */
  void applyListed(FeedItem item) {
    if (!wasGoneInAnEarlierEra(item)) {
      apply(item);
    } else if (take(item)) {
      contradicted.onReturned(item.key());
    }
  }

  private boolean wasGoneInAnEarlierEra(FeedItem item) {
    if (contradicted.isMissing(item.key())) {
      return false;
    }
    FeedItem earlier =
        contradicted.isReturned(item.key()) ? items.get(item.key()) : deletions.get(item.key());
    return earlier != null && !earlier.revision().isOfEraOf(item.revision());
  }

  /** Returns whether an item is to be told; a deletion is told here. */
  private boolean take(FeedItem item) {
    newestRevision = newestRevision.latest(item.revision());
    Optional<FeedItem> known = Optional.ofNullable(items.get(item.key()));
    if (known.isPresent() && !item.supersedes(known.get())) {
      return keep(known.get(), item);
    }
    changes++;
    item.configuration().ifPresent(read -> configurationVersion = read.version());
    if (item.entry().isPresent()) {
      items.put(item.key(), item);
      deletions.remove(item.key());
      return true;
    }
    // A page of a listing may have come after the deletion: others may still hold the key.
    delete(item.key(), item.revision());
    return false;
  }

  /**
   * Keeps what is known. A configuration that is held against an older version counts as written
   * with that one, so that others which follow this router are told of it.
   */
  private boolean keep(FeedItem known, FeedItem refused) {
    boolean refusedVersion = refused.revision().isAfter(known.revision());
    if (refusedVersion) {
      changes++;
      items.put(known.key(), known.at(refused.revision()));
    }
    return refusedVersion;
  }

  /** A listing as of a revision is complete: other keys that are not newer have gone. */
  void retain(Set<String> listed, StoreRevision revision) {
    boolean newEra = deletionsForgottenUntil.filter(revision::isOfEraOf).isEmpty();
    newestRevision = newestRevision.latest(new StoreRevision(revision.era(), 0));
    for (FeedItem item : all()) {
      if (listed.contains(item.key()) || item.revision().isAfter(revision)) {
        continue;
      }
      if (item.configuration().isPresent()) {
        items.put(item.key(), item.at(revision));
      } else if (!item.revision().isOfEraOf(revision)) {
        contradicted.onMissing(item.key());
        forget(item.key(), revision);
      } else {
        delete(item.key(), revision);
      }
    }
    if (newEra) {
      deletionsForgottenUntil = Optional.of(revision);
    }
    changes++;
  }

  /** Tells what was held back for long enough, as of now; returns whether there was any. */
  boolean settle(StoreRevision now) {
    ImmutableList<String> gone = contradicted.takeGone();
    ImmutableList<String> back = contradicted.takeBack();
    gone.forEach(key -> listener.onDeleted(key, now));
    for (String key : back) {
      Optional.ofNullable(items.get(key))
          .ifPresent(item -> listener.onWritten(key, item.entry().orElseThrow(), item.revision()));
    }
    return !gone.isEmpty() || !back.isEmpty();
  }

  private void delete(String key, StoreRevision revision) {
    boolean held = forget(key, revision);
    if (held && !contradicted.onDeleted(key)) {
      listener.onDeleted(key, revision);
    }
  }

  private boolean forget(String key, StoreRevision revision) {
    FeedItem held = items.remove(key);
    deletions.put(key, new FeedItem(key, revision, Optional.empty(), ""));
    if (deletions.size() > REMEMBERED_DELETIONS) {
      FeedItem oldest = deletions.values().iterator().next();
      deletions.remove(oldest.key());
      deletionsForgottenUntil = deletionsForgottenUntil.map(oldest.revision()::latest);
    }
    return held != null;
  }
}

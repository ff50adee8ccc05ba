package io.arrowarch.core.feed;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.store.StoreRevision;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A router's copy of the store, with recent deletions, so that other routers can follow it. If the
 * store was restored from an older backup, two kinds of changes are applied here at once and
 * delivered to the listener later: keys that were deleted in an earlier era and are in the backup,
 * and known keys that are missing from it. All other changes are delivered at once.
 */
final class FeedContents {
  /** A follower that has missed more deletions than this needs a full listing. */
  private static final int MAX_REMEMBERED_DELETIONS = 1_000;

  private final FeedListener listener;
  private final ContradictedKeys contradicted;
  private final Map<String, FeedItem> items = new LinkedHashMap<>();
  private final Map<String, FeedItem> deletions = new LinkedHashMap<>();

  /** Deletions up to this revision may have been forgotten; empty before the first listing. */
  private Optional<StoreRevision> deletionsForgottenUntil = Optional.empty();

  private StoreRevision newestRevision = StoreRevision.NONE;
  private long configurationVersion;
  private long changeCount;

  /** Creates empty contents; the listener is notified of each change once. */
  FeedContents(FeedListener listener, ContradictedKeys contradicted) {
    this.listener = listener;
    this.contradicted = contradicted;
  }

  /** The revision of the newest write or deletion that was applied. */
  StoreRevision newestRevision() {
    return newestRevision;
  }

  /** A counter that rises whenever the contents change. */
  long changeCount() {
    return changeCount;
  }

  /** The version of the known configuration; 0 if there is none. */
  long configurationVersion() {
    return configurationVersion;
  }

  /** All keys with their values. */
  ImmutableList<FeedItem> all() {
    return ImmutableList.copyOf(items.values());
  }

  /**
   * The writes and deletions after a revision. Empty if they are not all known, because deletions
   * have been forgotten or the revision is of another era.
   */
  Optional<ImmutableList<FeedItem>> after(StoreRevision revision) {
    if (deletionsForgottenUntil.filter(until -> !until.isAfter(revision)).isEmpty()
        || !revision.isSameEraAs(newestRevision)) {
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

  /** Applies a change unless a later one of its key is known. */
  void apply(FeedItem item) {
    if (put(item) && item.entry().isPresent()) {
      contradicted.onWritten(item.key());
      listener.onWritten(item.key(), item.entry().get(), item.revision());
    }
  }

  /** Applies an item of a listing, which may come from a backup older than what is known. */
  void applyListed(FeedItem item) {
    if (!wasDeletedInEarlierEra(item)) {
      apply(item);
    } else if (put(item)) {
      contradicted.onReappeared(item.key());
    }
  }

  private boolean wasDeletedInEarlierEra(FeedItem item) {
    if (contradicted.isMissing(item.key())) {
      return false;
    }
    FeedItem earlier =
        contradicted.isReappeared(item.key()) ? items.get(item.key()) : deletions.get(item.key());
    return earlier != null && !earlier.revision().isSameEraAs(item.revision());
  }

  /**
   * Stores an item unless the known one supersedes it. Returns whether the listener must be
   * notified; for a deletion it has been notified already. Also returns true for a refused item of
   * a later revision than the known one.
   */
  private boolean put(FeedItem item) {
    newestRevision = newestRevision.latest(item.revision());
    Optional<FeedItem> known = Optional.ofNullable(items.get(item.key()));
    if (known.isPresent() && !item.supersedes(known.get())) {
      return keepKnown(known.get(), item);
    }
    changeCount++;
    item.configuration().ifPresent(read -> configurationVersion = read.version());
    if (item.entry().isPresent()) {
      items.put(item.key(), item);
      deletions.remove(item.key());
      return true;
    }
    // Recorded even if the key is unknown here: this router may have listed the store after the
    // deletion, while routers that follow it still have the key.
    delete(item.key(), item.revision());
    return false;
  }

  /**
   * Keeps the known item. A configuration that is kept in place of an older version takes the
   * revision of that version, so that routers which follow this one receive it.
   */
  private boolean keepKnown(FeedItem known, FeedItem refused) {
    boolean isLaterRevision = refused.revision().isAfter(known.revision());
    if (isLaterRevision) {
      changeCount++;
      items.put(known.key(), known.withRevision(refused.revision()));
    }
    return isLaterRevision;
  }

  /**
   * Ends a listing as of a revision: removes the keys that it lacks, unless they are newer. A known
   * configuration is kept, with the revision of the listing. A key of another era is removed here,
   * but its deletion is held back from the listener.
   */
  void retain(Set<String> listed, StoreRevision revision) {
    boolean newEra = deletionsForgottenUntil.filter(revision::isSameEraAs).isEmpty();
    newestRevision = newestRevision.latest(new StoreRevision(revision.era(), 0));
    for (FeedItem item : all()) {
      if (listed.contains(item.key()) || item.revision().isAfter(revision)) {
        continue;
      }
      if (item.configuration().isPresent()) {
        items.put(item.key(), item.withRevision(revision));
      } else if (!item.revision().isSameEraAs(revision)) {
        contradicted.onMissing(item.key());
        forget(item.key(), revision);
      } else {
        delete(item.key(), revision);
      }
    }
    if (newEra) {
      deletionsForgottenUntil = Optional.of(revision);
    }
    changeCount++;
  }

  /**
   * Notifies the listener of changes that were held back for {@link
   * ContradictedKeys#MISSING_KEY_RETENTION} or {@link ContradictedKeys#REAPPEARED_KEY_DELAY}.
   *
   * @param now the revision to report for deletions
   * @return whether there were any
   */
  boolean resolveConflicts(StoreRevision now) {
    ImmutableList<String> missing = contradicted.takeExpiredMissing();
    ImmutableList<String> reappeared = contradicted.takeExpiredReappeared();
    missing.forEach(key -> listener.onDeleted(key, now));
    for (String key : reappeared) {
      Optional.ofNullable(items.get(key))
          .ifPresent(item -> listener.onWritten(key, item.entry().orElseThrow(), item.revision()));
    }
    return !missing.isEmpty() || !reappeared.isEmpty();
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
    if (deletions.size() > MAX_REMEMBERED_DELETIONS) {
      FeedItem oldest = deletions.values().iterator().next();
      deletions.remove(oldest.key());
      deletionsForgottenUntil = deletionsForgottenUntil.map(oldest.revision()::latest);
    }
    return held != null;
  }
}

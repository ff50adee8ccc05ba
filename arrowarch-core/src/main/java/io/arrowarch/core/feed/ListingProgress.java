package io.arrowarch.core.feed;

import io.arrowarch.core.store.StoreRevision;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Progress of a paged listing of the store. The pages together are not a snapshot: a key that is on
 * none of them is known to be deleted as of the revision of the first page. The watch must continue
 * from that revision.
 */
final class ListingProgress {
  private final Set<String> keys = new HashSet<>();
  private Optional<StoreRevision> firstRevision = Optional.empty();
  private boolean active;
  private long startNanos;

  /** Whether more pages are expected. */
  boolean isActive() {
    return active;
  }

  /** When the first page was requested. */
  long startNanos() {
    return startNanos;
  }

  /** Starts again from the first page; pages of two listings are too far apart to be combined. */
  void begin(long nowNanos) {
    keys.clear();
    firstRevision = Optional.empty();
    active = true;
    startNanos = nowNanos;
  }

  /** Whether a page is of another era than the pages before it. */
  boolean isOfAnotherEra(FeedAnswer page) {
    return firstRevision.filter(first -> !first.isSameEraAs(page.revision())).isPresent();
  }

  /** Stops the listing; its remaining pages are not needed. */
  void abandon() {
    active = false;
  }

  /** Adds a page. Returns the key after which the next page begins, or empty after the last. */
  Optional<String> onPage(FeedAnswer page) {
    page.items().forEach(item -> keys.add(item.key()));
    if (firstRevision.isEmpty()) {
      firstRevision = Optional.of(page.revision());
    }
    if (page.hasMore() && !page.items().isEmpty()) {
      return Optional.of(page.items().get(page.items().size() - 1).key());
    }
    active = false;
    return Optional.empty();
  }

  /** The keys of all pages so far. */
  Set<String> keys() {
    return keys;
  }

  /** The revision of the first page. */
  StoreRevision revision() {
    return firstRevision.orElseThrow();
  }
}

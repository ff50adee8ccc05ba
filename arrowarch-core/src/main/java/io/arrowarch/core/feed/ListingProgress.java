package io.arrowarch.core.feed;

import io.arrowarch.core.store.StoreRevision;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A listing of the store, page by page. Pages are no snapshot: what is missing on all of them is
 * known to have gone as of the first page's revision, from which a watch must go on.
 */
final class ListingProgress {
  private final Set<String> keys = new HashSet<>();
  private Optional<StoreRevision> firstRevision = Optional.empty();
  private boolean active;
  private long startNanos;

  /** Whether pages are awaited. */
  boolean isActive() {
    return active;
  }

  /** When the first page was asked for. */
  long startNanos() {
    return startNanos;
  }

  /** Begins anew: pages of two listings would be from too far apart. */
  void begin(long nowNanos) {
    keys.clear();
    firstRevision = Optional.empty();
    active = true;
    startNanos = nowNanos;
  }

  /** Whether a page is of another era than those before it. */
  boolean isOfAnotherEra(FeedAnswer page) {
    return firstRevision.filter(first -> !first.isOfEraOf(page.revision())).isPresent();
  }

  /** Nobody wants the rest. */
  void abandon() {
    active = false;
  }

  /** Takes a page; returns the key after which the next one begins, if there is one. */
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

  /** The keys on all pages. */
  Set<String> keys() {
    return keys;
  }

  /** Of the first page. */
  StoreRevision revision() {
    return firstRevision.orElseThrow();
  }
}

package io.arrowarch.core.feed;

import io.arrowarch.core.peer.StoreNews;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A router's copy of the store, with the revision up to which it is complete and its age. {@link
 * StoreFollower} makes the calls that keep it up to date.
 */
public final class StoreView {
  private final FeedListener listener;
  private final FeedContents contents;
  private final ChangeTimes changeTimes;
  private final ViewFreshness freshness;
  private Optional<StoreRevision> position = Optional.empty();

  /**
   * Creates an empty view.
   *
   * @param peerDelay how long after the store another router may report a change
   */
  StoreView(RouterClock clock, FeedListener listener, Duration peerDelay) {
    this.listener = listener;
    this.contents = new FeedContents(listener, new ContradictedKeys(clock));
    this.changeTimes = new ChangeTimes(clock, peerDelay);
    this.freshness = new ViewFreshness(clock);
  }

  /** Whether a full listing has been read. */
  public boolean isComplete() {
    return position.isPresent();
  }

  /**
   * The revision up to which every change is known, including deletions; {@link StoreRevision#NONE}
   * before the first listing.
   */
  public StoreRevision position() {
    return position.orElse(StoreRevision.NONE);
  }

  /** The newest revision of any key that this router has seen. */
  public StoreRevision newestRevision() {
    return contents.newestRevision();
  }

  /** The version of the known configuration; 0 if there is none. */
  public long configurationVersion() {
    return contents.configurationVersion();
  }

  /** A counter that rises whenever the contents change. */
  public long changeCount() {
    return contents.changeCount();
  }

  /**
   * Whether a listing of a later era is only partly applied. In this state the contents can't be
   * given to other routers.
   */
  public boolean isBetweenEras() {
    return position.filter(held -> !held.isSameEraAs(contents.newestRevision())).isPresent();
  }

  /**
   * The largest age that the view may have: every change that was made longer ago is known here.
   * Empty before the first listing.
   */
  public Optional<Duration> age() {
    return freshness.age();
  }

  /** The summary of this view that is sent to other routers. */
  public StoreNews news() {
    long ageMillis = age().map(StoreView::wholeMillis).orElse(StoreNews.NEVER);
    return new StoreNews(newestRevision(), position(), ageMillis, configurationVersion());
  }

  /** Rounds up, so that a view never appears younger than it is. */
  private static long wholeMillis(Duration age) {
    return Math.max(0, age.toMillis() + 1);
  }

  /**
   * The largest age that the view may have had at a given time; negative if the view is known to be
   * complete as of a later time. Empty before the first listing.
   */
  public Optional<Duration> ageAt(long nanos) {
    return freshness.ageAt(nanos);
  }

  /** See {@link ChangeTimes#earliestChangeNanos}. */
  public long earliestChangeNanos() {
    return changeTimes.earliestChangeNanos();
  }

  /** See {@link ChangeTimes#earliestDeletionNanos}. */
  public long earliestDeletionNanos() {
    return changeTimes.earliestDeletionNanos();
  }

  /** The whole contents, for another router; empty until a listing is complete. */
  public Optional<FeedAnswer> snapshot() {
    return position
        .filter(held -> !isBetweenEras())
        .map(revision -> new FeedAnswer(contents.all(), revision, false));
  }

  /**
   * The changes after a revision, for a router that follows this one; empty if they are no longer
   * all known.
   */
  public Optional<FeedAnswer> changesAfter(StoreRevision revision) {
    return contents
        .after(revision)
        .map(later -> new FeedAnswer(later, position().latest(revision), false));
  }

  /**
   * Receives the age of another router's view. That view held every change up to a position and
   * none after it. If this router has read as far, its own view is as fresh.
   *
   * <p>The newest key that the other router holds would not be enough, since the last change may be
   * the deletion of a key that the other router never saw. A position of another era proves nothing
   * either: this router may have read a backup of the store that lacks changes known to the other.
   *
   * @param askedNanos when the other router was asked
   * @param age the age of its view when it answered. It is counted from {@code askedNanos}, which
   *     can only overstate it.
   */
  public void onConfirmedByPeer(StoreRevision othersPosition, long askedNanos, Duration age) {
    boolean knowsAll =
        position.isPresent()
            && position.get().isSameEraAs(othersPosition)
            && !othersPosition.isAfter(position.get());
    if (knowsAll) {
      freshness.confirm(askedNanos, age);
    }
  }

  /** Whether a revision of the store is newer than everything known here. */
  boolean isBehind(StoreRevision revision) {
    return revision.isAfter(contents.newestRevision().latest(position()));
  }

  /** Whether an answer is of the same era as this router's listing. */
  boolean isOfCurrentEra(FeedAnswer answer) {
    return position().isSameEraAs(answer.revision());
  }

  /** See {@link ChangeTimes#onBehind}. */
  Duration onBehind(StoreRevision revision) {
    return changeTimes.onBehind(revision, age());
  }

  /** Whether another router is known to know a revision that this one doesn't. */
  boolean isKnownBehind() {
    return changeTimes.isBehind();
  }

  /** See {@link ChangeTimes#onStoreFailed}. */
  void onStoreFailed() {
    changeTimes.onStoreFailed();
  }

  /** See {@link ChangeTimes#onStoreReached}. */
  void onStoreReached() {
    changeTimes.onStoreReached();
  }

  /** Applies a page of a listing. */
  void onPage(FeedAnswer page) {
    changeTimes.beforeListing();
    applyPage(page);
  }

  /** Ends a listing after its last page was applied. */
  void onListed(ListingProgress listing) {
    contents.retain(listing.keys(), listing.revision());
    listener.onAnswerDelivered();
    position = Optional.of(listing.revision().latest(position()));
    changeTimes.afterListing(listing.startNanos());
    freshness.confirm(listing.startNanos(), Duration.ZERO);
    changeTimes.onKnown(position());
  }

  /** Applies the changes that a watch of the store returned. */
  void onChanges(FeedAnswer changes, long startNanos, Duration wait) {
    changeTimes.beforeChanges(startNanos);
    apply(changes);
    freshness.onWatchEnded(startNanos, wait, changes.items().isEmpty());
    advanceTo(changes.revision());
  }

  /**
   * Applies changes that another router reports.
   *
   * @param startNanos when the other router was asked
   * @param age the age of its view at that time; empty if unknown
   */
  void onPeerChanges(FeedAnswer changes, long startNanos, Optional<Duration> age) {
    changeTimes.beforePeerChanges(startNanos);
    apply(changes);
    age.ifPresent(known -> freshness.confirm(startNanos, known));
    advanceTo(changes.revision());
  }

  /**
   * Applies the listing of another router if it is newer than this view.
   *
   * @param askedNanos the earliest time at which the other router may have been asked
   * @param age the age of its view when it was asked; empty if unknown
   * @return whether the listing was newer
   */
  boolean onPeerListing(FeedAnswer listing, Optional<Long> askedNanos, Optional<Duration> age) {
    if (!listing.revision().isAfter(position())) {
      applyNewerConfiguration(listing);
      return false;
    }
    changeTimes.beforeListing();
    applyPage(listing);
    Set<String> keys = new HashSet<>();
    listing.items().forEach(item -> keys.add(item.key()));
    contents.retain(keys, listing.revision());
    listener.onAnswerDelivered();
    position = Optional.of(listing.revision());
    if (askedNanos.isPresent() && age.isPresent()) {
      freshness.confirm(askedNanos.get(), age.get());
    }
    changeTimes.onKnown(position());
    return true;
  }

  private void apply(FeedAnswer answer) {
    answer.items().forEach(contents::apply);
    listener.onAnswerDelivered();
  }

  private void applyPage(FeedAnswer page) {
    page.items().forEach(contents::applyListed);
    listener.onAnswerDelivered();
  }

  /**
   * Applies the configuration of another router's listing if its version is higher. A restored
   * store, as listed here, may lack a version that the other router still has.
   */
  private void applyNewerConfiguration(FeedAnswer listing) {
    for (FeedItem item : listing.items()) {
      boolean newer =
          item.configuration()
              .filter(read -> read.version() > contents.configurationVersion())
              .isPresent();
      if (newer) {
        contents.apply(item.withRevision(position()));
      }
    }
  }

  /**
   * Delivers the changes of a restored store that were held back because they contradicted what was
   * known, once their writers have had time to write again.
   */
  void resolveConflicts() {
    changeTimes.beforeResolvingConflicts();
    if (contents.resolveConflicts(position())) {
      listener.onAnswerDelivered();
    }
  }

  private void advanceTo(StoreRevision revision) {
    position = Optional.of(position().latest(revision));
    changeTimes.onKnown(position());
  }
}

package io.arrowarch.core.feed;

import io.arrowarch.core.peer.StoreNews;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * What a router holds of the store, up to which revision that is complete, and as of when. Which
 * call brings the next answer is {@link StoreFollower}'s matter.
 */
public final class StoreView {
  private final FeedListener listener;
  private final FeedContents contents;
  private final ChangeDates dates;
  private final ViewFreshness freshness;
  private Optional<StoreRevision> position = Optional.empty();

  /**
   * Creates a view of nothing.
   *
   * @param peerDelay how much later than the store another router may tell of a change
   */
  StoreView(RouterClock clock, FeedListener listener, Duration peerDelay) {
    this.listener = listener;
    this.contents = new FeedContents(listener, new ContradictedKeys(clock));
    this.dates = new ChangeDates(clock, peerDelay);
    this.freshness = new ViewFreshness(clock);
  }

  /** Whether everything that the store held has been read once. */
  public boolean isComplete() {
    return position.isPresent();
  }

  /**
   * Up to which revision every change is known, deletions included; {@link StoreRevision#NONE}
   * before the first listing.
   */
  public StoreRevision position() {
    return position.orElse(StoreRevision.NONE);
  }

  /** The newest revision of a key that this router has seen. */
  public StoreRevision newestRevision() {
    return contents.newestRevision();
  }

  /** The version of the configuration that this router holds; 0 without one. */
  public long configurationVersion() {
    return contents.configurationVersion();
  }

  /** Rises whenever something that is held changes. */
  public long changes() {
    return contents.changes();
  }

  /**
   * Whether pages of a later era have been taken and not all of them, so that others can't be told
   * what the store holds.
   */
  public boolean isBetweenEras() {
    return position.filter(held -> !held.isOfEraOf(contents.newestRevision())).isPresent();
  }

  /**
   * How old the view may be: what was written longer ago is known here. Empty before the first
   * listing.
   */
  public Optional<Duration> age() {
    return freshness.age();
  }

  /** What other routers are told of this view. */
  public StoreNews news() {
    long ageMillis = age().map(StoreView::wholeMillis).orElse(StoreNews.NEVER);
    return new StoreNews(newestRevision(), position(), ageMillis, configurationVersion());
  }

  /** Rounded up: a view must not look younger than it is. */
  private static long wholeMillis(Duration age) {
    return Math.max(0, age.toMillis() + 1);
  }

  /**
   * How old the view may have been at a moment; negative when it is known to be complete as of
   * later. Empty before the first listing.
   */
  public Optional<Duration> ageAt(long nanos) {
    return freshness.ageAt(nanos);
  }

  /** See {@link ChangeDates#changedSinceNanos}. */
  public long changedSinceNanos() {
    return dates.changedSinceNanos();
  }

  /** See {@link ChangeDates#deletedSinceNanos}. */
  public long deletedSinceNanos() {
    return dates.deletedSinceNanos();
  }

  /** All that this router holds, for another one; empty before a listing is complete. */
  public Optional<FeedAnswer> snapshot() {
    return position
        .filter(held -> !isBetweenEras())
        .map(revision -> new FeedAnswer(contents.all(), revision, false));
  }

  /**
   * The changes after a revision, for a router that follows this one; empty when they are not all
   * known any more.
   */
  public Optional<FeedAnswer> changesAfter(StoreRevision revision) {
    return contents
        .after(revision)
        .map(later -> new FeedAnswer(later, position().latest(revision), false));
  }

  /**
   * Hears that another router's view was complete at a moment, with every change up to a position
   * and none after it. The newest key that the other holds would not do: it need not have seen the
   * key whose deletion came last. Nor does a position of another era: what this router has read may
   * be from a copy that lacks what the other knows.
   *
   * @param askedNanos when the other was asked
   * @param age of its view then
   */
  public void onConfirmedByPeer(StoreRevision othersPosition, long askedNanos, Duration age) {
    boolean knowsAll =
        position.isPresent()
            && position.get().isOfEraOf(othersPosition)
            && !othersPosition.isAfter(position.get());
    if (knowsAll) {
      freshness.confirm(askedNanos, age);
    }
  }

  /** Whether the store has a change of this revision that is not known here. */
  boolean isBehind(StoreRevision revision) {
    return revision.isAfter(contents.newestRevision().latest(position()));
  }

  /** Whether an answer is of the era that this router has listed. */
  boolean isOfItsEra(FeedAnswer answer) {
    return position().isOfEraOf(answer.revision());
  }

  /** Notes that another router is ahead while the store fails this one; returns for how long. */
  Duration onBehind() {
    return dates.onBehind();
  }

  /** Takes a page of a listing that is not complete. */
  void onPage(FeedAnswer page) {
    dates.beforeListing();
    takeListed(page);
  }

  /** All pages have been taken. */
  void onListed(ListingProgress listing) {
    contents.retain(listing.keys(), listing.revision());
    listener.onAnswerTold();
    position = Optional.of(listing.revision().latest(position()));
    dates.afterListing(listing.startNanos());
    freshness.confirm(listing.startNanos(), Duration.ZERO);
  }

  /** Takes the end of a watch at the store that began at a moment, with its wait. */
  void onChanges(FeedAnswer changes, long startNanos, Duration wait) {
    dates.beforeChanges(startNanos);
    take(changes);
    freshness.onWatchEnded(startNanos, wait, changes.items().isEmpty());
    moveTo(changes.revision());
  }

  /**
   * Takes changes that another router tells, asked at a moment.
   *
   * @param age of the other's view when it was asked; empty when it does not know
   */
  void onPeerChanges(FeedAnswer changes, long startNanos, Optional<Duration> age) {
    dates.beforeChangesOfPeer(startNanos);
    take(changes);
    age.ifPresent(known -> freshness.confirm(startNanos, known));
    moveTo(changes.revision());
  }

  /**
   * Takes all that another router holds; returns whether it is more than this one has read.
   *
   * @param askedNanos the earliest moment at which it may have been asked
   * @param age of the other's view then; empty when it does not know
   */
  boolean onPeerListing(FeedAnswer listing, Optional<Long> askedNanos, Optional<Duration> age) {
    if (!listing.revision().isAfter(position())) {
      takeNewerConfiguration(listing);
      return false;
    }
    dates.beforeListing();
    takeListed(listing);
    Set<String> keys = new HashSet<>();
    listing.items().forEach(item -> keys.add(item.key()));
    contents.retain(keys, listing.revision());
    listener.onAnswerTold();
    position = Optional.of(listing.revision());
    if (askedNanos.isPresent() && age.isPresent()) {
      freshness.confirm(askedNanos.get(), age.get());
    }
    return true;
  }

  private void take(FeedAnswer answer) {
    answer.items().forEach(contents::apply);
    listener.onAnswerTold();
  }

  private void takeListed(FeedAnswer page) {
    page.items().forEach(contents::applyListed);
    listener.onAnswerTold();
  }

  /** A copy that this router has listed may lack the version that another one remembers. */
  private void takeNewerConfiguration(FeedAnswer listing) {
    for (FeedItem item : listing.items()) {
      boolean newer =
          item.configuration()
              .filter(read -> read.version() > contents.configurationVersion())
              .isPresent();
      if (newer) {
        contents.apply(item.at(position()));
      }
    }
  }

  /** Tells what an older copy contradicted and nobody has written again for long enough. */
  void settle() {
    dates.beforeSettling();
    if (contents.settle(position())) {
      listener.onAnswerTold();
    }
  }

  private void moveTo(StoreRevision revision) {
    position = Optional.of(position().latest(revision));
  }
}

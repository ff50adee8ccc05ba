package io.arrowarch.core.feed;

import io.arrowarch.core.store.StoreRevision;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Records the calls of a follower, one line for each. */
final class RecordingFeedListener implements FeedListener {
  final List<String> lines = new ArrayList<>();

  /** The key for which {@link #onWritten} throws. */
  String failingKey = "";

  /** The sources of changes, one entry for each switch. */
  final List<String> sources = new ArrayList<>();

  /** The number of a revision, preceded by its era unless that is 0. */
  static String text(StoreRevision revision) {
    return (revision.era() == 0 ? "" : revision.era() + ".") + revision.number();
  }

  @Override
  public void onWritten(String key, FeedEntry entry, StoreRevision revision) {
    if (key.equals(failingKey)) {
      throw new IllegalStateException("the listener failed");
    }
    lines.add(key + "@" + text(revision));
  }

  @Override
  public void onDeleted(String key, StoreRevision revision) {
    lines.add("-" + key + "@" + text(revision));
  }

  @Override
  public void onAnswerDelivered() {}

  @Override
  public void onListed(StoreRevision revision) {
    lines.add("listed@" + text(revision));
  }

  @Override
  public void onSourceChanged(Optional<String> relay) {
    sources.add(relay.orElse("store"));
  }

  @Override
  public void onStoreFailed(FeedFailure failure) {
    lines.add("lost");
  }

  @Override
  public void onHistoryGone(StoreRevision revision) {}

  @Override
  public void onNewEra(StoreRevision from, StoreRevision to) {
    lines.add("older " + text(from) + " to " + text(to));
  }

  @Override
  public void onBehind(StoreRevision revision) {
    lines.add("behind@" + text(revision));
  }

  @Override
  public void onListedByPeer(StoreRevision revision) {
    lines.add("by peer@" + text(revision));
  }

  @Override
  public void onPeerListingFailed() {
    lines.add("no listing");
  }

  @Override
  public void onStoreRecovered() {
    lines.add("regained");
  }
}

package io.arrowarch.core.feed;

import java.util.ArrayList;
import java.util.List;

/** What a follower tells, a line each. */
final class RecordingFeedListener implements FeedListener {
  final List<String> lines = new ArrayList<>();

  @Override
  public void onWritten(String key, FeedEntry entry, long revision) {
    lines.add(key + "@" + revision);
  }

  @Override
  public void onDeleted(String key, long revision) {
    lines.add("-" + key + "@" + revision);
  }

  @Override
  public void onAnswerTold() {}

  @Override
  public void onListed(long revision) {
    lines.add("listed@" + revision);
  }

  @Override
  public void onLost(FeedFailure failure) {
    lines.add("lost");
  }

  @Override
  public void onHistoryGone(long revision) {}

  @Override
  public void onEra(long era) {}

  @Override
  public void onLeftOut(FeedItem item, long knownRevision) {}

  @Override
  public void onBehind(long revision) {
    lines.add("behind@" + revision);
  }

  @Override
  public void onListedByPeer(long revision) {
    lines.add("by peer@" + revision);
  }

  @Override
  public void onPeerListingFailed() {
    lines.add("no listing");
  }

  @Override
  public void onRegained() {
    lines.add("regained");
  }
}

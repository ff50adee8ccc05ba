package io.arrowarch.core.feed;

import io.arrowarch.core.store.StoreRevision;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Records the calls of a follower; the test answers them. */
final class RecordingFeedTransport implements FeedTransport {
  final List<String> calls = new ArrayList<>();
  long currentCall;
  Duration lastWait = Duration.ZERO;
  Duration lastTimeout = Duration.ZERO;

  @Override
  public void list(long number, Optional<String> afterKey, Duration timeout) {
    currentCall = number;
    calls.add("list" + afterKey.map(key -> " after " + key).orElse(""));
  }

  @Override
  public void watch(long number, StoreRevision after, Duration wait, Duration timeout) {
    currentCall = number;
    lastWait = wait;
    lastTimeout = timeout;
    calls.add("watch after " + RecordingFeedListener.text(after));
  }

  @Override
  public void watchPeer(
      long number, String address, StoreRevision after, Duration wait, Duration timeout) {
    currentCall = number;
    lastWait = wait;
    lastTimeout = timeout;
    calls.add("watch " + address + " after " + RecordingFeedListener.text(after));
  }

  @Override
  public void listFromPeer(String address) {
    calls.add("list from " + address);
  }

  String lastCall() {
    return calls.get(calls.size() - 1);
  }
}

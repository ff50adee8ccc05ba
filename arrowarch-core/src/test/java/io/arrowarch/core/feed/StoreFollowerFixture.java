package io.arrowarch.core.feed;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.BeforeMethod;

/** A follower in virtual time, with recorded calls and deliveries. */
abstract class StoreFollowerFixture {
  static final String PEER = "10.0.0.2:7400";
  static final Duration MAX_SILENCE = Duration.ofSeconds(4);

  FakeClock clock;
  TimerQueue timers;
  RecordingFeedTransport transport;
  RecordingFeedListener listener;
  StoreFollower follower;
  Duration apply;
  Duration confirmation;
  boolean everyView;
  boolean isFollowed;
  boolean relay;
  boolean usesRelays;
  final List<String> relays = new ArrayList<>();
  final Deque<String> routersToAskAtStart = new ArrayDeque<>();

  @BeforeMethod
  public void create() {
    clock = new FakeClock();
    timers = new TimerQueue();
    transport = new RecordingFeedTransport();
    listener = new RecordingFeedListener();
    apply = Duration.ofSeconds(1);
    confirmation = Duration.ofSeconds(5);
    everyView = false;
    isFollowed = false;
    relay = true;
    usesRelays = false;
    relays.clear();
    routersToAskAtStart.clear();
    follow(MAX_SILENCE);
  }

  void follow(Duration maxSilence) {
    follower =
        new StoreFollower(
            transport,
            listener,
            clock,
            timers,
            new Random(1),
            new FeedBounds(maxSilence, apply, confirmation, everyView),
            new FixedSource());
    follower.start();
  }

  void advance(Duration length) {
    clock.advance(length);
    timers.runDue(clock.nanoTime());
  }

  void runBackoff() {
    clock.advance(Duration.ofNanos(timers.nextDueNanos().orElseThrow() - clock.nanoTime()));
    timers.runDue(clock.nanoTime());
  }

  void answer(long revision, boolean hasMore, FeedItem... items) {
    follower.onAnswer(transport.currentCall, page(revision, hasMore, items));
  }

  void peerAnswers(Optional<Duration> age, long revision, FeedItem... items) {
    follower.onPeerChanges(transport.currentCall, page(revision, false, items), age);
  }

  void fail(FeedFailure failure) {
    follower.onFailure(transport.currentCall, failure);
  }

  static FeedAnswer page(long revision, boolean hasMore, FeedItem... items) {
    return new FeedAnswer(ImmutableList.copyOf(items), revision(revision), hasMore);
  }

  /** A revision of a store that was never restored. */
  static StoreRevision revision(long number) {
    return new StoreRevision(0, number);
  }

  static FeedItem written(String key, long revision) {
    return new FeedItem(key, revision(revision), Optional.of(new FeedEntry.Unknown()), "value");
  }

  static FeedItem deleted(String key, long revision) {
    return new FeedItem(key, revision(revision), Optional.empty(), "");
  }

  /** A source whose answers the test sets; relays are followed in list order. */
  final class FixedSource implements FeedSource {
    @Override
    public boolean isRelay() {
      return relay;
    }

    @Override
    public boolean isFollowed() {
      return isFollowed;
    }

    @Override
    public boolean usesRelays() {
      return usesRelays;
    }

    @Override
    public Optional<String> relayToFollow() {
      return relays.stream().findFirst();
    }

    @Override
    public Optional<String> routerToAskAtStart() {
      return Optional.ofNullable(routersToAskAtStart.poll());
    }

    @Override
    public Optional<String> relayToAskAfterGap() {
      return relay ? Optional.empty() : relays.stream().findFirst();
    }

    @Override
    public void onFailed(String address) {
      relays.remove(address);
    }
  }
}

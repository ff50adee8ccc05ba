package io.arrowarch.core.feed;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class StoreFollowerTest {
  private static final String PEER = "10.0.0.2:7400";
  private static final Duration LONGEST_SILENCE = Duration.ofSeconds(4);

  private FakeClock clock;
  private TimerQueue timers;
  private RecordingFeedTransport transport;
  private RecordingFeedListener listener;
  private StoreFollower follower;
  private Duration apply;
  private Duration confirmation;
  private boolean everyView;
  private boolean isFollowed;
  private boolean lookout;
  private final List<String> lookouts = new ArrayList<>();
  private final Deque<String> atStart = new ArrayDeque<>();

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
    lookout = true;
    lookouts.clear();
    atStart.clear();
    follow(LONGEST_SILENCE);
  }

  private void follow(Duration longestSilence) {
    follower =
        new StoreFollower(
            transport,
            listener,
            clock,
            timers,
            new Random(1),
            new FeedBounds(longestSilence, apply, confirmation, everyView),
            new FixedSource());
    follower.start();
  }

  @Test
  public void watchesFromTheFirstPagesRevision() {
    answer(100, true, written("a", 10));
    answer(105, false, written("b", 103));

    assertThat(listener.lines).containsExactly("a@10", "b@103", "listed@100");
    assertThat(transport.last()).isEqualTo("watch after 100");
  }

  @Test
  public void theHigherRevisionOfAKeyWins() {
    answer(100, true, written("a", 10));
    answer(105, false, written("b", 103));
    answer(110, false, written("b", 101), written("b", 103), written("b", 107));

    assertThat(listener.lines).containsExactly("a@10", "b@103", "listed@100", "b@107");
  }

  @Test
  public void aDeletionIsToldOnce() {
    answer(100, false, written("a", 10));
    answer(111, false, deleted("a", 111));
    clock.advance(FollowerTimes.SHORTEST_PAUSE);
    timers.runDue(clock.nanoTime());
    answer(112, false, deleted("a", 111));

    assertThat(listener.lines).containsExactly("a@10", "listed@100", "-a@111");
  }

  @Test
  public void goneHistoryIsListedAnewAndWhatIsMissingIsDeleted() {
    answer(100, false, written("a", 10), written("b", 20));
    fail(FeedFailure.HISTORY_GONE);
    assertThat(transport.last()).isEqualTo("list");
    answer(200, false, written("b", 20));

    assertThat(listener.lines)
        .containsExactly("a@10", "b@20", "listed@100", "-a@200", "listed@200");
  }

  @Test
  public void aListingThatBreaksOffStartsAnew() {
    answer(100, true, written("a", 10));
    fail(FeedFailure.NO_ANSWER);
    runBackoff();

    assertThat(transport.last()).isEqualTo("list");
    answer(120, false, written("b", 110));
    assertThat(listener.lines)
        .containsExactly("a@10", "lost", "regained", "b@110", "-a@120", "listed@120");
  }

  @Test
  public void aFailedWatchGoesOnFromWhereItWas() {
    answer(100, false);
    fail(FeedFailure.NO_ANSWER);
    runBackoff();

    assertThat(transport.last()).isEqualTo("watch after 100");
    answer(100, false);
    assertThat(listener.lines).containsExactly("listed@100", "lost", "regained");
  }

  @Test
  public void anAnswerToAnEarlierCallIsIgnored() {
    long first = transport.call;
    answer(100, false, written("a", 10));
    follower.onAnswer(first, page(50, false, written("z", 1)));

    assertThat(listener.lines).containsExactly("a@10", "listed@100");
  }

  @Test
  public void backoffIsBounded() {
    answer(100, false);
    for (int i = 0; i < 20; i++) {
      fail(FeedFailure.UNAVAILABLE);
      long due = timers.nextDueNanos().orElseThrow() - clock.nanoTime();
      assertThat(Duration.ofNanos(due)).isLessThanOrEqualTo(Duration.ofMillis(1_200));
      runBackoff();
    }
  }

  @Test
  public void silenceIsBelievedForLessThanTheTimeAfterACut() {
    answer(100, false);

    assertThat(transport.lastTimeout).isLessThan(Duration.ofMillis(3_500));
    assertThat(transport.lastTimeout.minus(transport.lastWait))
        .isEqualTo(FollowerTimes.ANSWER_SLACK);
  }

  @Test
  public void waitsAreLongerWhereSilenceMayBe() {
    follow(Duration.ofSeconds(6));
    answer(100, false);

    assertThat(transport.lastTimeout)
        .isEqualTo(Duration.ofSeconds(6).minus(FollowerTimes.RECONNECT_TIME));
  }

  @Test
  public void waitsStayPositiveWhereNoSilenceMayBe() {
    follow(Duration.ZERO);
    answer(100, false);

    assertThat(transport.lastWait).isPositive();
  }

  @Test
  public void changesAreFetchedTogetherWhereRoutersMayActByThemLater() {
    apply = Duration.ofSeconds(6);
    follow(LONGEST_SILENCE);
    answer(100, false);
    answer(101, false, written("a", 101));
    int calls = transport.calls.size();
    pass(Duration.ofMillis(1_400));
    assertThat(transport.calls).hasSize(calls);
    pass(Duration.ofMillis(200));

    assertThat(transport.last()).isEqualTo("watch after 101");
  }

  @Test
  public void onlyLookoutsWaitForAShortTime() {
    lookout = false;
    answer(100, false);

    assertThat(transport.lastWait).isEqualTo(FollowerTimes.LONGEST_WAIT);
  }

  @Test
  public void whoIsNoLookoutFollowsOneByTheSameCalls() {
    lookout = false;
    lookouts.add(PEER);
    answer(100, false, written("a", 10));
    assertThat(transport.last()).isEqualTo("watch " + PEER + " after 100");
    assertThat(follower.mayBeFollowed()).isFalse();
    peerAnswers(Optional.of(Duration.ZERO), 105, written("b", 105), deleted("a", 104));

    assertThat(listener.lines).containsExactly("a@10", "listed@100", "b@105", "-a@104");
    assertThat(transport.last()).isEqualTo("watch " + PEER + " after 105");
  }

  @Test
  public void whereALookoutFailsTheNextIsFollowedAndAtLastTheStore() {
    lookout = false;
    lookouts.add(PEER);
    lookouts.add("10.0.0.3:7400");
    answer(100, false);
    fail(FeedFailure.NO_ANSWER);
    assertThat(transport.last()).isEqualTo("watch 10.0.0.3:7400 after 100");
    fail(FeedFailure.UNAVAILABLE);
    assertThat(transport.last()).isEqualTo("watch after 100");
    assertThat(listener.lines).doesNotContain("lost");
    assertThat(follower.mayBeFollowed()).isTrue();
  }

  @Test
  public void aLookoutThatHasForgottenTellsAll() {
    lookout = false;
    lookouts.add(PEER);
    answer(100, false, written("a", 10));
    fail(FeedFailure.HISTORY_GONE);
    assertThat(transport.last()).isEqualTo("list from " + PEER);
    follower.onPeerListing(page(200, false, written("b", 150)), Optional.empty());

    assertThat(listener.lines)
        .containsExactly("a@10", "listed@100", "b@150", "-a@200", "by peer@200");
    assertThat(transport.last()).isEqualTo("watch " + PEER + " after 200");
  }

  @Test
  public void whereNeitherALookoutsHistoryNorItsListingCanBeHadTheStoreIsListed() {
    lookout = false;
    lookouts.add(PEER);
    answer(100, false);
    fail(FeedFailure.HISTORY_GONE);
    follower.onPeerListingFailed();
    assertThat(transport.last()).isEqualTo("list");
  }

  @Test
  public void aLookoutThatStandsStillIsLeftOnceOthersAreAhead() {
    lookout = false;
    lookouts.add(PEER);
    answer(100, false);
    follower.onPeerRevision(107, "10.0.0.9:7400", false);
    clock.advance(StoreFollower.BEHIND_SLACK);
    timers.runDue(clock.nanoTime());
    assertThat(transport.last()).isEqualTo("watch after 100");
  }

  @Test
  public void whoIsFollowedTellsWhatIsLaterAndSaysWhenItHasForgotten() {
    answer(100, false, written("a", 10), written("b", 20));
    answer(111, false, deleted("a", 111), written("c", 110), deleted("never-seen", 109));

    assertThat(follower.mayBeFollowed()).isTrue();
    assertThat(follower.changesAfter(100).orElseThrow().items())
        .extracting(FeedItem::key)
        .containsExactlyInAnyOrder("a", "c", "never-seen");
    assertThat(follower.changesAfter(110).orElseThrow().items())
        .extracting(FeedItem::key)
        .containsExactly("a");
    assertThat(follower.changesAfter(111).orElseThrow().items()).isEmpty();
    assertThat(follower.changesAfter(99)).isEmpty();
  }

  @Test
  public void afterAFailureAnyRouterLooksForSilence() {
    lookout = false;
    answer(100, false);
    fail(FeedFailure.NO_ANSWER);
    runBackoff();
    assertThat(transport.lastWait).isLessThan(LONGEST_SILENCE);
    answer(100, false);

    assertThat(transport.lastWait).isEqualTo(FollowerTimes.LONGEST_WAIT);
  }

  @Test
  public void aRouterThatStaysBehindTheOthersAsksAnew() {
    lookout = false;
    answer(100, false, written("a", 90));
    follower.onPeerRevision(103, PEER, true);
    pass(StoreFollower.BEHIND_SLACK);
    answer(103, false, written("a", 103));

    assertThat(transport.calls).containsExactly("list", "watch after 100", "watch after 100");
    assertThat(listener.lines).containsExactly("a@90", "listed@100", "behind@103", "a@103");
  }

  @Test
  public void aRouterThatHearsOfAChangeBeforeItComesDoesNotAskTwice() {
    lookout = false;
    answer(100, false, written("a", 90));
    follower.onPeerRevision(103, PEER, true);
    answer(103, false, written("a", 103));
    pass(StoreFollower.BEHIND_SLACK);

    assertThat(listener.lines).doesNotContain("behind@103");
  }

  @Test
  public void aRouterThatTheStoreRefusesTakesWhatAPeerHolds() {
    answer(100, false, written("a", 10), written("b", 20));
    fail(FeedFailure.UNAVAILABLE);
    follower.onPeerRevision(130, PEER, true);
    assertThat(transport.last()).isEqualTo("list from " + PEER);
    follower.onPeerListing(page(130, false, written("b", 20), written("c", 130)), Optional.empty());
    runBackoff();

    assertThat(listener.lines)
        .containsExactly("a@10", "b@20", "listed@100", "lost", "c@130", "-a@130", "by peer@130");
    assertThat(transport.last()).isEqualTo("watch after 130");
  }

  @Test
  public void aRouterThatStartsWhileTheStoreIsDownIsListedByAPeer() {
    fail(FeedFailure.NO_ANSWER);
    follower.onPeerRevision(90, PEER, false);
    follower.onPeerListing(page(95, false, written("a", 90)), Optional.empty());

    assertThat(follower.hasListed()).isTrue();
    runBackoff();
    assertThat(transport.last()).isEqualTo("watch after 95");
  }

  @Test
  public void aPageThatComesAfterAPeersListingIsNotTakenForChanges() {
    long listing = transport.call;
    fail(FeedFailure.NO_ANSWER);
    runBackoff();
    long second = transport.call;
    follower.onPeerRevision(90, PEER, false);
    follower.onPeerListing(page(95, false, written("a", 90)), Optional.empty());
    follower.onAnswer(second, page(96, true, written("b", 96)));

    assertThat(second).isNotEqualTo(listing);
    assertThat(listener.lines).doesNotContain("b@96");
    assertThat(transport.last()).isEqualTo("watch after 95");
  }

  @Test
  public void peersAreNotAskedWhileTheStoreAnswersNorMoreOftenThanNeeded() {
    answer(100, false, written("a", 10));
    follower.onPeerRevision(130, PEER, true);
    assertThat(transport.calls).doesNotContain("list from " + PEER);
    fail(FeedFailure.THROTTLED);
    follower.onPeerRevision(130, PEER, false);
    assertThat(transport.calls).doesNotContain("list from " + PEER);
    follower.onPeerRevision(130, PEER, true);
    follower.onPeerRevision(131, PEER, true);

    assertThat(transport.calls).containsOnlyOnce("list from " + PEER);
  }

  @Test
  public void whatAPeerHoldsOfEarlierChangesNothing() {
    answer(100, false, written("a", 10));
    follower.onPeerListing(page(90, false), Optional.empty());

    assertThat(listener.lines).containsExactly("a@10", "listed@100");
  }

  @Test
  public void whatIsHeldIsToldToOthersWhole() {
    answer(100, false, written("a", 10), written("b", 20));
    answer(111, false, deleted("a", 111));

    assertThat(follower.snapshot()).contains(page(111, false, written("b", 20)));
  }

  @Test
  public void whatOthersHaveSeenOfEarlierRevisionsSaysNothing() {
    answer(100, false, written("a", 90));
    follower.onPeerRevision(100, PEER, true);
    pass(StoreFollower.BEHIND_SLACK.multipliedBy(2));

    assertThat(transport.calls).containsExactly("list", "watch after 100");
    assertThat(follower.newestRevision()).isEqualTo(90);
  }

  @Test
  public void whoStartsTakesOneAnswerOfAnotherRouter() {
    atStart.add(PEER);
    transport.calls.clear();
    follow(LONGEST_SILENCE);
    assertThat(transport.calls).containsExactly("list from " + PEER);
    pass(Duration.ofMillis(20));
    follower.onPeerListing(page(200, false, written("b", 150)), Optional.of(Duration.ofSeconds(1)));

    assertThat(follower.hasListed()).isTrue();
    assertThat(follower.viewAge()).contains(Duration.ofMillis(1_020));
    assertThat(transport.last()).isEqualTo("watch after 200");
  }

  @Test
  public void whoStartsAsksOthersForAMomentOnlyAndThenTheStore() {
    for (int i = 0; i < 100; i++) {
      atStart.add(PEER);
    }
    transport.calls.clear();
    follow(LONGEST_SILENCE);
    for (int millis = 0; millis < 1_200 && !transport.last().equals("list"); millis += 50) {
      if (transport.calls.size() > 100 - atStart.size() - 1) {
        follower.onPeerListingFailed();
      }
      pass(Duration.ofMillis(50));
    }
    assertThat(transport.last()).isEqualTo("list");
    answer(100, false);
    assertThat(transport.last()).isEqualTo("watch after 100");
  }

  @Test
  public void aListingProvesTheViewAsOfItsStart() {
    pass(Duration.ofMillis(40));
    answer(100, true, written("a", 10));
    pass(Duration.ofMillis(60));
    assertThat(follower.viewAge()).isEmpty();
    answer(105, false, written("b", 103));

    assertThat(follower.viewAge()).contains(Duration.ofMillis(100));
  }

  @Test
  public void aWatchThatWasHeldForItsWholeWaitProvesTheViewUntilItsEnd() {
    answer(100, false);
    pass(transport.lastWait.plusMillis(30));
    answer(100, false);

    Duration drift = transport.lastWait.dividedBy(1_000);
    assertThat(follower.viewAge()).contains(drift.plusMillis(30));
  }

  @Test
  public void aWatchThatEndsEarlyOrWithChangesProvesTheViewAsOfItsStartOnly() {
    answer(100, false);
    pass(Duration.ofMillis(700));
    answer(100, false);
    assertThat(follower.viewAge()).contains(Duration.ofMillis(700));

    pass(transport.lastWait);
    answer(107, false, written("a", 107));
    assertThat(follower.viewAge()).contains(transport.lastWait);
  }

  @Test
  public void whatAPeerConfirmsCountsOnlyOnceItsChangesAreKnown() {
    answer(100, false);
    pass(Duration.ofSeconds(2));
    follower.onConfirmedByPeer(101, clock.nanoTime());
    assertThat(follower.viewAge()).contains(Duration.ofSeconds(2));

    follower.onConfirmedByPeer(100, clock.nanoTime() - Duration.ofMillis(300).toNanos());
    assertThat(follower.viewAge()).contains(Duration.ofMillis(300));
    follower.onConfirmedByPeer(90, clock.nanoTime() - Duration.ofSeconds(1).toNanos());
    assertThat(follower.viewAge()).contains(Duration.ofMillis(300));
  }

  @Test
  public void othersAreToldUpToWhichRevisionAllIsKnownAlsoWhatWasDeletedUnseen() {
    answer(100, false, written("a", 10));

    assertThat(follower.newestRevision()).isEqualTo(10);
    assertThat(follower.position()).isEqualTo(100);
  }

  @Test
  public void aLookoutStatesTheAgeOfItsViewAndIsLeftWhenThatIsOld() {
    lookout = false;
    lookouts.add(PEER);
    lookouts.add("10.0.0.3:7400");
    answer(100, false);
    pass(Duration.ofMillis(1_500));
    peerAnswers(Optional.of(Duration.ofMillis(-1_200)), 100);
    assertThat(follower.viewAge()).contains(Duration.ofMillis(300));
    assertThat(transport.last()).isEqualTo("watch " + PEER + " after 100");

    pass(Duration.ofMillis(1_500));
    peerAnswers(Optional.of(Duration.ofMillis(1_600)), 100);
    // Three fifths of five seconds are not over: the lookout is followed on.
    assertThat(transport.last()).isEqualTo("watch " + PEER + " after 100");
    pass(Duration.ofMillis(1_500));
    peerAnswers(Optional.of(Duration.ofMillis(3_100)), 100);
    assertThat(transport.last()).isEqualTo("watch 10.0.0.3:7400 after 100");
  }

  @Test
  public void aLookoutThatOthersFollowConfirmsItsViewClosely() {
    isFollowed = true;
    answer(100, false);
    assertThat(transport.lastWait).isEqualTo(Duration.ofMillis(1_500));
    pass(Duration.ofSeconds(1));
    answer(107, false, written("a", 107));
    // As of the call's start, a second ago: the pause and the next wait are what is left.
    pass(FollowerTimes.SHORTEST_PAUSE);
    pass(Duration.ofMillis(100));
    assertThat(transport.last()).isEqualTo("watch after 107");
    assertThat(transport.lastWait).isEqualTo(FollowerTimes.SHORTEST_CONFIRMATION);
  }

  @Test
  public void whereEveryViewMustBeFreshEachRouterConfirmsItsOwn() {
    lookout = false;
    everyView = true;
    follow(LONGEST_SILENCE);
    answer(100, false);
    assertThat(transport.lastWait).isEqualTo(Duration.ofMillis(1_500));
  }

  private void pass(Duration length) {
    clock.advance(length);
    timers.runDue(clock.nanoTime());
  }

  private void runBackoff() {
    clock.advance(Duration.ofNanos(timers.nextDueNanos().orElseThrow() - clock.nanoTime()));
    timers.runDue(clock.nanoTime());
  }

  private void answer(long revision, boolean hasMore, FeedItem... items) {
    follower.onAnswer(transport.call, page(revision, hasMore, items));
  }

  private void peerAnswers(Optional<Duration> age, long revision, FeedItem... items) {
    follower.onPeerChanges(transport.call, page(revision, false, items), age);
  }

  private void fail(FeedFailure failure) {
    follower.onFailure(transport.call, failure);
  }

  private static FeedAnswer page(long revision, boolean hasMore, FeedItem... items) {
    return new FeedAnswer(ImmutableList.copyOf(items), revision, hasMore);
  }

  private static FeedItem written(String key, long revision) {
    return new FeedItem(key, revision, Optional.of(new FeedEntry.Unknown()), "value");
  }

  private static FeedItem deleted(String key, long revision) {
    return new FeedItem(key, revision, Optional.empty(), "");
  }

  /** A lookout or not, with the lookouts to follow in order. */
  private final class FixedSource implements FeedSource {
    @Override
    public boolean isLookout() {
      return lookout;
    }

    @Override
    public boolean isFollowed() {
      return isFollowed;
    }

    @Override
    public Optional<String> lookoutToFollow() {
      return lookouts.stream().findFirst();
    }

    @Override
    public Optional<String> routerToAskAtStart() {
      return Optional.ofNullable(atStart.poll());
    }

    @Override
    public void onFailed(String address) {
      lookouts.remove(address);
    }
  }
}

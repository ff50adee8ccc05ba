package io.arrowarch.core.feed;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.EmptyConfiguration;
import io.arrowarch.core.peer.StoreNews;
import io.arrowarch.core.store.StoreRevision;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/**
 * A follower of a store that is restored from an older backup. The revision numbers go back and are
 * assigned again in the next era, so that a follower which compares only numbers would miss
 * changes. The backup also lacks recent keys and contains deleted ones; applied at once, it would
 * drop live servers and bring back servers that have left.
 */
public final class OlderStoreFollowerTest extends StoreFollowerFixture {
  private static final Duration MOMENT = Duration.ofMillis(1);

  private static StoreRevision in(long era, long number) {
    return new StoreRevision(era, number);
  }

  private static FeedItem written(String key, StoreRevision revision) {
    return new FeedItem(key, revision, Optional.of(new FeedEntry.Unknown()), "of " + revision);
  }

  private static FeedItem deleted(String key, StoreRevision revision) {
    return new FeedItem(key, revision, Optional.empty(), "");
  }

  private static FeedItem configuration(long version, StoreRevision revision) {
    return new FeedItem(
        "config",
        revision,
        Optional.of(EmptyConfiguration.ofVersion(version)),
        "version " + version);
  }

  private static FeedAnswer answer(StoreRevision revision, FeedItem... items) {
    return new FeedAnswer(ImmutableList.copyOf(items), revision, false);
  }

  private void storeAnswers(StoreRevision revision, FeedItem... items) {
    follower.onAnswer(transport.currentCall, answer(revision, items));
  }

  /** The items that this router would send to another router that asks for its listing. */
  private List<String> servedItems() {
    return follower.view().snapshot().orElseThrow().items().stream()
        .map(item -> item.value() + "@" + RecordingFeedListener.text(item.revision()))
        .toList();
  }

  @Test
  public void lowerNumberOfLaterEraIsNewer() {
    storeAnswers(in(1, 100), written("a", in(1, 10)), written("b", in(1, 90)));
    fail(FeedFailure.HISTORY_GONE);
    storeAnswers(in(2, 60), written("a", in(2, 10)), written("b", in(2, 55)));

    assertThat(listener.lines)
        .containsExactly(
            "a@1.10",
            "b@1.90",
            "listed@1.100",
            "a@2.10",
            "b@2.55",
            "older 1.100 to 2.60",
            "listed@2.60");
    assertThat(transport.lastCall()).isEqualTo("watch after 2.60");
  }

  @Test
  public void answerOfLaterEraCausesListing() {
    storeAnswers(in(1, 100), written("a", in(1, 90)));
    // The numbers have passed 100 again: the answer lacks the new changes with numbers 61 to 100.
    storeAnswers(in(2, 103), written("c", in(2, 102)));
    assertThat(transport.lastCall()).isEqualTo("list");
    storeAnswers(in(2, 103), written("a", in(2, 70)), written("c", in(2, 102)));

    assertThat(listener.lines)
        .containsExactly(
            "a@1.90", "listed@1.100", "a@2.70", "c@2.102", "older 1.100 to 2.103", "listed@2.103");
    assertThat(transport.lastCall()).isEqualTo("watch after 2.103");
  }

  @Test
  public void answerOfEarlierEraCountsAsFailure() {
    storeAnswers(in(2, 60), written("a", in(2, 10)));
    storeAnswers(in(1, 200), written("a", in(1, 150)));

    assertThat(listener.lines).containsExactly("a@2.10", "listed@2.60", "lost");
    assertThat(follower.view().position()).isEqualTo(in(2, 60));
  }

  @Test
  public void pagesOfTwoErasRestartListing() {
    storeAnswers(in(1, 100));
    fail(FeedFailure.HISTORY_GONE);
    follower.onAnswer(
        transport.currentCall,
        new FeedAnswer(ImmutableList.of(written("a", in(2, 10))), in(2, 60), true));
    assertThat(transport.lastCall()).isEqualTo("list after a");
    assertThat(follower.view().isBetweenEras()).isTrue();
    assertThat(follower.view().snapshot()).isEmpty();
    storeAnswers(in(3, 50), written("b", in(3, 20)));

    assertThat(transport.lastCall()).isEqualTo("list");
    storeAnswers(in(3, 50), written("b", in(3, 20)));
    assertThat(follower.view().position()).isEqualTo(in(3, 50));
    assertThat(follower.view().isBetweenEras()).isFalse();
  }

  @Test
  public void configurationVersionNeverGoesBackHereOrForFollowers() {
    storeAnswers(in(1, 100), configuration(26, in(1, 90)));
    fail(FeedFailure.HISTORY_GONE);
    storeAnswers(in(2, 60), configuration(23, in(2, 55)));

    assertThat(servedItems()).containsExactly("version 26@2.55");
    assertThat(follower.view().configurationVersion()).isEqualTo(26);
    storeAnswers(in(2, 62), configuration(28, in(2, 62)));
    assertThat(servedItems()).containsExactly("version 28@2.62");
  }

  @Test
  public void backupWithoutConfigurationDoesNotRemoveIt() {
    storeAnswers(in(1, 100), configuration(26, in(1, 90)));
    fail(FeedFailure.HISTORY_GONE);
    storeAnswers(in(2, 60));

    assertThat(servedItems()).containsExactly("version 26@2.60");
  }

  @Test
  public void routerStartedInNewEraTakesHigherVersionFromPeer() {
    storeAnswers(in(2, 60), configuration(23, in(2, 55)));
    StoreNews news = new StoreNews(in(2, 55), in(2, 60), 10, 26);
    follower.onPeerNews(news, PEER, true);
    assertThat(transport.calls).doesNotContain("list from " + PEER);
    advance(StoreFollower.PROPAGATION_SLACK);
    assertThat(transport.lastCall()).isEqualTo("list from " + PEER);
    follower.onPeerListing(
        answer(in(2, 60), configuration(26, in(2, 55))), Optional.of(Duration.ZERO));

    assertThat(follower.view().configurationVersion()).isEqualTo(26);
    assertThat(listener.lines).endsWith("config@2.60");
    follower.onPeerNews(news, PEER, true);
    advance(StoreFollower.PROPAGATION_SLACK);
    assertThat(transport.calls.stream().filter(("list from " + PEER)::equals)).hasSize(1);
  }

  @Test
  public void missingKeyIsKeptUntilItsWriterHadTimeToWriteAgain() {
    storeAnswers(in(1, 100), written("lives", in(1, 90)), written("left", in(1, 95)));
    fail(FeedFailure.HISTORY_GONE);
    storeAnswers(in(2, 60));
    assertThat(servedItems()).isEmpty();
    advance(ContradictedKeys.MISSING_KEY_RETENTION.minus(MOMENT));
    storeAnswers(in(2, 61), written("lives", in(2, 61)));
    assertThat(listener.lines).doesNotContain("-left@2.61").endsWith("lives@2.61");
    advance(MOMENT);

    assertThat(listener.lines).endsWith("lives@2.61", "-left@2.61");
    advance(ContradictedKeys.REAPPEARED_KEY_DELAY);
    assertThat(listener.lines).endsWith("lives@2.61", "-left@2.61");
  }

  @Test
  public void reappearedKeyIsIgnoredUntilItWouldHaveExpired() {
    storeAnswers(in(1, 100), written("left", in(1, 90)), written("lives", in(1, 90)));
    storeAnswers(in(1, 102), deleted("left", in(1, 101)), deleted("lives", in(1, 102)));
    advance(Duration.ofMillis(300));
    fail(FeedFailure.HISTORY_GONE);
    storeAnswers(in(2, 100), written("left", in(2, 90)), written("lives", in(2, 90)));
    assertThat(listener.lines).endsWith("older 1.102 to 2.100", "listed@2.100");
    advance(Duration.ofSeconds(3));
    storeAnswers(in(2, 101), deleted("left", in(2, 101)));
    advance(ContradictedKeys.REAPPEARED_KEY_DELAY);

    assertThat(listener.lines).endsWith("listed@2.100", "lives@2.90");
  }

  @Test
  public void reappearedKeyThatIsWrittenAgainIsDeliveredAtOnce() {
    storeAnswers(in(1, 100), written("lives", in(1, 90)));
    storeAnswers(in(1, 102), deleted("lives", in(1, 102)));
    advance(Duration.ofMillis(300));
    fail(FeedFailure.HISTORY_GONE);
    storeAnswers(in(2, 100), written("lives", in(2, 90)));
    storeAnswers(in(2, 101), written("lives", in(2, 101)));
    assertThat(listener.lines).endsWith("lives@2.101");
    int lines = listener.lines.size();
    advance(ContradictedKeys.REAPPEARED_KEY_DELAY);

    assertThat(listener.lines).hasSize(lines);
  }

  @Test
  public void secondRestoreMayContainMissingKeyAgain() {
    storeAnswers(in(1, 100), written("a", in(1, 90)));
    fail(FeedFailure.HISTORY_GONE);
    storeAnswers(in(2, 60));
    fail(FeedFailure.HISTORY_GONE);
    storeAnswers(in(3, 95), written("a", in(3, 90)));
    advance(ContradictedKeys.REAPPEARED_KEY_DELAY);

    assertThat(listener.lines).contains("a@3.90").doesNotContain("-a@3.95", "-a@2.60");
  }

  @Test
  public void peerOfLaterEraIsAheadWithAnyNumber() {
    storeAnswers(in(1, 100));
    follower.onPeerNews(new StoreNews(in(2, 55), in(2, 60), 10, 0), PEER, true);
    advance(StoreFollower.PROPAGATION_SLACK);

    // A watch from number 100 might wait for a long time in the new era, which is at 60.
    assertThat(transport.lastCall()).isEqualTo("list");
  }

  @Test
  public void peerOfEarlierEraIsNotAheadAndConfirmsNothing() {
    storeAnswers(in(2, 60));
    advance(Duration.ofSeconds(3));
    Duration age = follower.view().age().orElseThrow();
    int calls = transport.calls.size();
    follower.onPeerNews(new StoreNews(in(1, 100), in(1, 100), 0, 0), PEER, true);
    follower.view().onConfirmedByPeer(in(1, 50), clock.nanoTime(), Duration.ZERO);
    advance(StoreFollower.PROPAGATION_SLACK);

    assertThat(transport.calls).hasSize(calls);
    assertThat(follower.view().age().orElseThrow()).isGreaterThan(age);
  }

  @Test
  public void laterEraIsTakenFromPeerWhileStoreFails() {
    storeAnswers(in(1, 100), written("a", in(1, 90)), written("b", in(1, 91)));
    fail(FeedFailure.UNAVAILABLE);
    follower.onPeerNews(new StoreNews(in(2, 55), in(2, 60), 10, 0), PEER, true);
    assertThat(transport.lastCall()).isEqualTo("list from " + PEER);
    follower.onPeerListing(answer(in(2, 60), written("a", in(2, 55))), Optional.of(Duration.ZERO));

    assertThat(follower.view().position()).isEqualTo(in(2, 60));
    assertThat(listener.lines).endsWith("lost", "a@2.55", "older 1.100 to 2.60", "by peer@2.60");
    advance(ContradictedKeys.MISSING_KEY_RETENTION);
    assertThat(listener.lines).endsWith("-b@2.60");
  }

  @Test
  public void followerAsksRelayAfterGapAndStoreOneSecondLater() {
    relay = false;
    storeAnswers(in(1, 100), written("a", in(1, 10)));
    relays.add(PEER);
    fail(FeedFailure.HISTORY_GONE);
    assertThat(transport.lastCall()).isEqualTo("list from " + PEER);
    // The relay has not listed the new era yet; asked again, it gives no answer in time.
    follower.onPeerListing(answer(in(1, 100)), Optional.of(Duration.ZERO));
    advance(Duration.ofMillis(100));
    assertThat(transport.calls.stream().filter(("list from " + PEER)::equals)).hasSize(2);
    advance(StoreFollower.PEER_LISTING_PERIOD);
    assertThat(transport.lastCall()).isEqualTo("list");
    follower.onPeerListingFailed();

    assertThat(transport.calls.stream().filter("list"::equals)).hasSize(2);
  }

  @Test
  public void followersOfAnotherEraGetNoHistory() {
    storeAnswers(in(2, 60), written("a", in(2, 10)));

    assertThat(follower.view().changesAfter(in(1, 100))).isEmpty();
    assertThat(follower.mayBeFollowed(in(1, 100))).isTrue();
    assertThat(follower.mayBeFollowed(in(3, 1))).isFalse();
    assertThat(follower.view().changesAfter(in(2, 60)).orElseThrow().items()).isEmpty();
  }

  @Test
  public void relayThatAnswersInAnotherEraIsNoLongerFollowed() {
    relay = false;
    relays.add(PEER);
    storeAnswers(in(1, 100), written("a", in(1, 10)));
    follower.onPeerChanges(transport.currentCall, answer(in(2, 60)), Optional.of(Duration.ZERO));

    assertThat(transport.lastCall()).isEqualTo("watch after 1.100");
    assertThat(follower.view().position()).isEqualTo(in(1, 100));
  }
}

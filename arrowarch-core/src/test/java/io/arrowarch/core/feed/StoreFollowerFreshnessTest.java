package io.arrowarch.core.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/**
 * The age of a follower's view, and how a starting router obtains its first view. A view that
 * counts as younger than it is would let a router decide on outdated entries.
 */
public final class StoreFollowerFreshnessTest extends StoreFollowerFixture {
  @Test
  public void startingRouterUsesListingOfAnotherRouter() {
    routersToAskAtStart.add(PEER);
    transport.calls.clear();
    follow(MAX_SILENCE);
    assertThat(transport.calls).containsExactly("list from " + PEER);
    advance(Duration.ofMillis(20));
    follower.onPeerListing(page(200, false, written("b", 150)), Optional.of(Duration.ofSeconds(1)));

    assertThat(follower.view().isComplete()).isTrue();
    assertThat(follower.view().age()).contains(Duration.ofMillis(1_020));
    assertThat(transport.lastCall()).isEqualTo("watch after 200");
  }

  @Test
  public void startingRouterAsksPeersBrieflyAndThenTheStore() {
    for (int i = 0; i < 100; i++) {
      routersToAskAtStart.add(PEER);
    }
    transport.calls.clear();
    follow(MAX_SILENCE);
    for (int millis = 0; millis < 1_200 && !transport.lastCall().equals("list"); millis += 50) {
      if (transport.calls.size() > 100 - routersToAskAtStart.size() - 1) {
        follower.onPeerListingFailed();
      }
      advance(Duration.ofMillis(50));
    }
    assertThat(transport.lastCall()).isEqualTo("list");
    answer(100, false);
    assertThat(transport.lastCall()).isEqualTo("watch after 100");
  }

  @Test
  public void listingConfirmsViewAsOfItsStart() {
    advance(Duration.ofMillis(40));
    answer(100, true, written("a", 10));
    advance(Duration.ofMillis(60));
    assertThat(follower.view().age()).isEmpty();
    answer(105, false, written("b", 103));

    assertThat(follower.view().age()).contains(Duration.ofMillis(100));
  }

  @Test
  public void watchThatLastedItsWholeWaitConfirmsViewAsOfItsEnd() {
    answer(100, false);
    advance(transport.lastWait.plusMillis(30));
    answer(100, false);

    Duration drift = transport.lastWait.dividedBy(1_000);
    assertThat(follower.view().age()).contains(drift.plusMillis(30));
  }

  @Test
  public void watchThatEndsEarlyOrWithChangesConfirmsViewAsOfItsStart() {
    answer(100, false);
    advance(Duration.ofMillis(700));
    answer(100, false);
    assertThat(follower.view().age()).contains(Duration.ofMillis(700));

    advance(transport.lastWait);
    answer(107, false, written("a", 107));
    assertThat(follower.view().age()).contains(transport.lastWait);
  }

  @Test
  public void confirmationByPeerCountsOnlyOnceItsChangesAreKnown() {
    answer(100, false);
    advance(Duration.ofSeconds(2));
    follower.view().onConfirmedByPeer(revision(101), clock.nanoTime(), Duration.ZERO);
    assertThat(follower.view().age()).contains(Duration.ofSeconds(2));

    follower.view().onConfirmedByPeer(revision(100), clock.nanoTime(), Duration.ofMillis(300));
    assertThat(follower.view().age()).contains(Duration.ofMillis(300));
    follower.view().onConfirmedByPeer(revision(90), clock.nanoTime(), Duration.ofSeconds(1));
    assertThat(follower.view().age()).contains(Duration.ofMillis(300));
  }

  @Test
  public void positionCoversDeletionsOfKeysNeverSeen() {
    answer(100, false, written("a", 10));

    assertThat(follower.view().newestRevision()).isEqualTo(revision(10));
    assertThat(follower.view().position()).isEqualTo(revision(100));
  }

  @Test
  public void relayWithOldViewIsNoLongerFollowed() {
    relay = false;
    relays.add(PEER);
    relays.add("10.0.0.3:7400");
    answer(100, false);
    advance(Duration.ofMillis(1_500));
    peerAnswers(Optional.of(Duration.ofMillis(-1_200)), 100);
    assertThat(follower.view().age()).contains(Duration.ofMillis(300));
    assertThat(transport.lastCall()).isEqualTo("watch " + PEER + " after 100");

    advance(Duration.ofMillis(1_500));
    peerAnswers(Optional.of(Duration.ofMillis(1_600)), 100);
    // The view is younger than three fifths of five seconds, so the relay is still followed.
    assertThat(transport.lastCall()).isEqualTo("watch " + PEER + " after 100");
    advance(Duration.ofMillis(1_500));
    peerAnswers(Optional.of(Duration.ofMillis(3_100)), 100);
    assertThat(transport.lastCall()).isEqualTo("watch 10.0.0.3:7400 after 100");
  }

  @Test
  public void listenerIsNotifiedOfEachChangeOfSource() {
    relay = false;
    relays.add(PEER);
    relays.add("10.0.0.3:7400");
    answer(100, false);
    peerAnswers(Optional.of(Duration.ZERO), 101, written("a", 101));
    fail(FeedFailure.UNAVAILABLE);
    fail(FeedFailure.UNAVAILABLE);

    assertThat(listener.sources).containsExactly(PEER, "10.0.0.3:7400", "store");
  }

  @Test
  public void followedRelayConfirmsItsViewInShortIntervals() {
    isFollowed = true;
    answer(100, false);
    assertThat(transport.lastWait).isEqualTo(Duration.ofMillis(1_500));
    advance(Duration.ofSeconds(1));
    answer(107, false, written("a", 107));
    // The view dates from the start of the call, one second ago. The pause and the next wait must
    // fit into the rest of the time.
    advance(FollowerTimes.SHORTEST_PAUSE);
    advance(Duration.ofMillis(100));
    assertThat(transport.lastCall()).isEqualTo("watch after 107");
    assertThat(transport.lastWait).isEqualTo(FollowerTimes.SHORTEST_CONFIRMATION);
  }

  @Test
  public void eachRouterConfirmsItsViewIfEveryViewMustBeFresh() {
    relay = false;
    everyView = true;
    follow(MAX_SILENCE);
    answer(100, false);
    assertThat(transport.lastWait).isEqualTo(Duration.ofMillis(1_500));
  }
}

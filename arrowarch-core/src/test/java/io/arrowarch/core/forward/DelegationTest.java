package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.route.RouteTarget;
import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Searches that are delegated to a router nearer to their servers. Guards against parts that are
 * lost, run more often than allowed or reported with a wrong outcome when the delegate declines the
 * search, does not reply or has another configuration.
 */
public final class DelegationTest {
  private static final long FIRST = 1;
  private static final long SECOND = 2;

  private RouterPair routers;

  @BeforeMethod
  public void create() {
    routers = new RouterPair();
  }

  @Test
  public void aWideSearchGoesWholeToAGathererNearItsServers() {
    routers.near.submit();

    assertThat(routers.near.sent).isEmpty();
    assertThat(routers.underWay.get(FIRST).shards()).isEqualTo(RouterPair.SHARDS);
  }

  @Test
  public void aSearchIsNotHandedToARegionThatItsRouteExcludes() {
    routers.near.regions = ImmutableSet.of("north");
    routers.routeNear(2);
    routers.near.submit();

    assertThat(routers.underWay).isEmpty();
    assertThat(routers.near.sent)
        .extracting(attempt -> attempt.server().zone())
        .containsOnly("zone-a")
        .hasSize(3);
  }

  @Test
  public void aRouterThatKnowsNoServersStillDelegates() {
    for (String shard : RouterPair.SHARDS) {
      for (String zone : ImmutableList.of("-a", "-b", "-c")) {
        routers.near.directory.onGone(shard + zone, routers.clock.nanoTime());
      }
    }
    routers.advance(Duration.ofSeconds(5));
    routers.near.submit();
    routers.deliver(FIRST);
    answerAll(routers.far);
    routers.reply(FIRST);

    assertThat(routers.near.merged(0).missingParts()).isZero();
  }

  @Test
  public void anAnswerHoldsWhatTheGathererHasMerged() {
    routers.near.submit();
    routers.deliver(FIRST);
    assertThat(routers.far.sent)
        .extracting(attempt -> attempt.server().zone())
        .containsOnly("zone-b")
        .hasSize(RouterPair.SHARDS.size());
    answerAll(routers.far);
    assertThat(routers.near.outcomes).isEmpty();
    routers.reply(FIRST);

    ForwardedAnswer.Merged answer = routers.near.merged(0);
    assertThat(answer.missingParts()).isZero();
    assertThat(answer.signatures()).hasSize(6);
  }

  @Test
  public void partsThatTheDelegateLeavesOutCountAsMissing() {
    routers.near.submit();
    routers.deliver(FIRST);
    routers.far.sent.subList(0, 4).stream().toList().forEach(routers.far::answer);
    routers.advance(ForwardFixture.OBJECTIVE.minusMillis(20));
    routers.reply(FIRST);

    assertThat(routers.near.merged(0).missingParts()).isEqualTo(2);
    assertThat(routers.near.merged(0).signatures()).hasSize(4);
  }

  @Test
  public void aGathererWithTooFewPartsGoesOnPastTheObjective() {
    routers.near.submit();
    routers.deliver(FIRST);
    routers.far.sent.subList(0, 2).stream().toList().forEach(routers.far::answer);
    routers.advance(ForwardFixture.OBJECTIVE);
    assertThat(routers.replies).isEmpty();
    routers.far.answer(routers.far.attempt(2));
    routers.reply(FIRST);

    assertThat(routers.near.merged(0).signatures()).hasSize(3);
  }

  @Test
  public void declinedPartsAreRunHere() {
    routers.near.submit();
    routers.routeFarToOneServer(2);
    routers.deliver(FIRST);
    routers.reply(FIRST);

    assertThat(routers.far.sent).isEmpty();
    assertThat(routers.near.sent).hasSize(6);
    answerAll(routers.near);
    assertThat(routers.near.merged(0).missingParts()).isZero();
  }

  @Test
  public void theConfigurationOfTheDelegatingRouterDecidesWhichShardsAreSearched() {
    routers.near.submit();
    routers.cutFarIntoFewerShards(2);
    routers.deliver(FIRST);

    assertThat(routers.far.sent)
        .extracting(attempt -> attempt.server().service())
        .containsExactlyInAnyOrderElementsOf(RouterPair.SHARDS);
  }

  @Test
  public void partsThatCouldNotBeSentAreRunHere() {
    routers.near.submit();
    routers.near.coordinator.onDelegateFailure(FIRST, DelegateFailure.UNREACHABLE);

    assertThat(routers.near.sent).hasSize(6);
  }

  @Test
  public void partsThatCouldNotBeSentGoToAnotherGathererFirst() {
    routers.addDelegate();
    routers.near.submit();
    routers.near.coordinator.onDelegateFailure(FIRST, DelegateFailure.UNREACHABLE);

    assertThat(routers.near.sent).isEmpty();
    assertThat(routers.underWay.get(SECOND).shards()).isEqualTo(RouterPair.SHARDS);
    routers.near.coordinator.onDelegateFailure(SECOND, DelegateFailure.UNREACHABLE);
    assertThat(routers.near.sent).hasSize(6);
  }

  @Test
  public void lostPartsAreNotRunAgainNorReportedAsNotExecuted() {
    routers.addDelegate();
    routers.near.submit();
    routers.near.coordinator.onDelegateFailure(FIRST, DelegateFailure.BROKEN);

    assertThat(routers.near.sent).isEmpty();
    assertThat(routers.underWay).doesNotContainKey(SECOND);
    assertThat(routers.near.error(0).executed()).isEqualTo(Executed.UNKNOWN);
  }

  @Test
  public void aSilentDelegateIsCancelledAndSuspended() {
    routers.near.submit();
    routers.advance(ForwardFixture.TIMEOUT.dividedBy(2).plusMillis(100));
    routers.near.submit();

    assertThat(routers.underWay).doesNotContainKey(SECOND);
    assertThat(routers.cancelled).contains(FIRST);
  }

  @Test
  public void aStalledDelegateGetsNoFurtherSearches() {
    routers.near.submit();
    routers.advance(ForwardFixture.OBJECTIVE.multipliedBy(3).dividedBy(2));
    routers.near.submit();

    assertThat(routers.underWay).doesNotContainKey(SECOND);
  }

  @Test
  public void theTimeReservedForOverheadIsAtMostTwoFifthsOfTheObjective() {
    routers.near.submit();
    routers.deliver(FIRST);
    answerAll(routers.far);
    routers.advance(ForwardFixture.OBJECTIVE.multipliedBy(2).dividedBy(5));
    routers.reply(FIRST);
    routers.advance(Duration.ofSeconds(8));
    routers.near.submit();

    assertThat(routers.underWay.get(SECOND).objectiveLeft())
        .isGreaterThan(ForwardFixture.OBJECTIVE.dividedBy(2));
  }

  @Test
  public void aCancelledSearchIsCancelledAtTheDelegate() {
    ForwardHandle handle = routers.near.submit();
    routers.deliver(FIRST);
    handle.cancel();

    assertThat(routers.far.cancelled).hasSize(RouterPair.SHARDS.size());
    assertThat(routers.far.coordinator.inProgress()).isZero();
  }

  @Test
  public void withoutOtherRoutersAllPartsAreRunHere() {
    routers.loseDelegate();
    routers.near.submit();

    assertThat(routers.near.sent).hasSize(6);
  }

  @Test
  public void aDelegateWithoutASearchRouteDeclinesAndQueriesNoServer() {
    routers.near.submit();
    routers.routeFarToOneServer(2);
    routers.deliver(FIRST);

    assertThat(routers.replies.get(FIRST)).isInstanceOf(DelegateReply.Declined.class);
    assertThat(routers.far.sent).isEmpty();
  }

  @Test
  public void aDelegateWithoutServersForTheShardsDeclinesAndQueriesNone() {
    routers.near.submit();
    DelegatedSearch search = routers.underWay.get(FIRST);
    DelegatedSearch other =
        new DelegatedSearch(
            search.request(),
            search.version(),
            new RouteTarget.AllShards(ImmutableList.of("s"), 4, 1),
            search.timeLeft(),
            search.objectiveLeft(),
            false);
    routers.far.coordinator.submitDelegated(other, reply -> routers.replies.put(FIRST, reply));

    assertThat(routers.replies.get(FIRST)).isInstanceOf(DelegateReply.Declined.class);
    assertThat(routers.far.sent).isEmpty();
  }

  @Test
  public void nothingIsDelegatedIfServersHaveConnectionsForAllRouters() {
    ForwardFixture alone = new ForwardFixture(2);
    alone.route(true, "s1", "s2", "s3", "s4", "s5", "s6");
    for (int shard = 1; shard <= 6; shard++) {
      alone.serverOf("zone-b", "s" + shard + "-b", "s" + shard);
    }
    alone.submit();

    assertThat(alone.sent).hasSize(6);
  }

  private static void answerAll(ForwardFixture router) {
    router.sent.stream().toList().forEach(router::answer);
  }
}

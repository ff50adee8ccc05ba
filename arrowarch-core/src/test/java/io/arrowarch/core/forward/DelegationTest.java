package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.error.Executed;
import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Parts that are handed to a router nearer to their servers. */
public final class DelegationTest {
  private static final long FIRST = 1;

  private RouterPair routers;

  @BeforeMethod
  public void create() {
    routers = new RouterPair();
  }

  @Test
  public void partsWithoutServerInTheZoneGoTogetherToOneThatHasThem() {
    routers.near.submit();

    assertThat(routers.near.sent).hasSize(RouterPair.NEAR.size());
    assertThat(routers.underWay.get(FIRST).shards()).isEqualTo(RouterPair.FAR);
  }

  @Test
  public void anAnswerHoldsOwnPartsAndThoseHandedOn() {
    routers.near.submit();
    routers.deliver(FIRST);
    assertThat(routers.far.sent)
        .extracting(attempt -> attempt.server().zone())
        .containsOnly("zone-b")
        .hasSize(RouterPair.FAR.size());
    answerAll(routers.far);
    routers.reply(FIRST);
    assertThat(routers.near.outcomes).isEmpty();
    answerAll(routers.near);

    ForwardedAnswer.Merged answer = routers.near.merged(0);
    assertThat(answer.missingParts()).isZero();
    assertThat(answer.signatures()).hasSize(6);
  }

  @Test
  public void partsThatTheOtherLeavesOutAreToldAsMissing() {
    routers.near.submit();
    routers.deliver(FIRST);
    routers.far.answer(routers.far.attempt(0));
    answerAll(routers.near);
    routers.advance(ForwardFixture.OBJECTIVE.minusMillis(20));
    routers.reply(FIRST);

    assertThat(routers.near.merged(0).missingParts()).isEqualTo(2);
    assertThat(routers.near.merged(0).signatures()).hasSize(4);
  }

  @Test
  public void whatIsDeclinedIsRunHere() {
    routers.near.submit();
    routers.routeFar(2);
    routers.deliver(FIRST);
    routers.reply(FIRST);

    assertThat(routers.far.sent).isEmpty();
    assertThat(routers.near.sent).hasSize(6);
    answerAll(routers.near);
    assertThat(routers.near.merged(0).missingParts()).isZero();
  }

  @Test
  public void whatCouldNotBeSentIsRunHere() {
    routers.near.submit();
    routers.near.coordinator.onDelegateFailure(FIRST, DelegateFailure.UNREACHABLE);

    assertThat(routers.near.sent).hasSize(6);
  }

  @Test
  public void whatMayHaveRunAndIsLostIsNotRunAgain() {
    routers.near.submit();
    answerAll(routers.near);
    routers.near.coordinator.onDelegateFailure(FIRST, DelegateFailure.BROKEN);

    assertThat(routers.near.sent).hasSize(RouterPair.NEAR.size());
    assertThat(routers.near.merged(0).missingParts()).isEqualTo(RouterPair.FAR.size());
  }

  @Test
  public void aRequestThatMayHaveRunElsewhereIsNotSaidToHaveNotRun() {
    routers.near.submit();
    for (int i = 0; i < 3; i++) {
      routers.near.fail(routers.near.attempt(i), ServerFailure.UNREACHABLE);
    }
    routers.near.sent.stream()
        .skip(3)
        .toList()
        .forEach(attempt -> routers.near.fail(attempt, ServerFailure.UNREACHABLE));
    routers.near.coordinator.onDelegateFailure(FIRST, DelegateFailure.BROKEN);

    assertThat(routers.near.error(0).executed()).isEqualTo(Executed.UNKNOWN);
  }

  @Test
  public void aRouterThatSaysNothingIsLeftAloneForAWhile() {
    routers.near.submit();
    routers.advance(ForwardFixture.OBJECTIVE.multipliedBy(3));
    routers.near.submit();

    assertThat(routers.underWay).doesNotContainKey(2L);
    assertThat(routers.cancelled).contains(FIRST);
  }

  @Test
  public void aSearchThatStandsStillThereKeepsOthersHereAtOnce() {
    routers.near.submit();
    routers.advance(ForwardFixture.OBJECTIVE.multipliedBy(3).dividedBy(2));
    routers.near.submit();

    assertThat(routers.underWay).doesNotContainKey(2L);
  }

  @Test
  public void aCallerThatLeavesStopsTheOtherRouter() {
    ForwardHandle handle = routers.near.submit();
    routers.deliver(FIRST);
    handle.cancel();

    assertThat(routers.far.cancelled).hasSize(RouterPair.FAR.size());
    assertThat(routers.far.coordinator.inProgress()).isZero();
  }

  @Test
  public void withoutAnotherRouterAllPartsAreRunHere() {
    routers.loseDelegate();
    routers.near.submit();

    assertThat(routers.near.sent).hasSize(6);
  }

  @Test
  public void twoFarPartsAreNotWorthAnotherRouter() {
    routers.near.serverOf("zone-a", "s4-a", "s4");
    routers.advance(Duration.ofMillis(300));
    routers.near.submit();

    assertThat(routers.near.sent).hasSize(6);
  }

  @Test
  public void aRouterDeclinesShardsThatAreNotOfTheSearch() {
    routers.near.submit();
    DelegatedSearch search = routers.underWay.get(FIRST);
    DelegatedSearch other =
        new DelegatedSearch(
            search.request(),
            search.version(),
            ImmutableList.of("s"),
            search.timeLeft(),
            search.objectiveLeft());
    routers.far.coordinator.submitDelegated(other, reply -> routers.replies.put(FIRST, reply));

    assertThat(routers.replies.get(FIRST)).isInstanceOf(DelegateReply.Declined.class);
  }

  @Test
  public void whereServersHaveConnectionsForAllEachRouterAsksThemItself() {
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

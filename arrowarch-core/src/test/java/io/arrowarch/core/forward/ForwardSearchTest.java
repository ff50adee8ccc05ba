package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.server.LoadReport;
import io.arrowarch.core.server.ServerState;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Requests that go to all shards of a search: when they are answered, which parts are retried or
 * hedged, and when parts are given up.
 */
public final class ForwardSearchTest {
  private static final ImmutableList<String> SHARDS = ImmutableList.of("s1", "s2", "s3", "s4");

  private ForwardFixture fixture;

  @BeforeMethod
  public void create() {
    fixture = new ForwardFixture();
    fixture.route(true, "s1", "s2", "s3", "s4");
    for (String service : new String[] {"s1", "s2", "s3", "s4"}) {
      fixture.server(service + "-a", service);
      fixture.server(service + "-b", service);
    }
  }

  @Test
  public void answersWhenAllPartsAreAnswered() {
    fixture.submit();
    assertThat(fixture.sent).hasSize(4);
    for (int i = 0; i < 4; i++) {
      assertThat(fixture.outcomes).isEmpty();
      fixture.answer(fixture.attempt(i));
    }

    assertThat(fixture.merged(0).missingParts()).isZero();
    assertThat(fixture.merged(0).signatures()).hasSize(4);
    assertThat(fixture.merged(0).records().length()).isEqualTo(4 * RecordMerger.RECORD_BYTES);
  }

  @Test
  public void answersWithoutMissingPartsAtTheObjective() {
    fixture.submit();
    for (int i = 0; i < 3; i++) {
      fixture.answer(fixture.attempt(i));
    }
    fixture.advanceInSteps(ForwardFixture.OBJECTIVE);

    assertThat(fixture.merged(0).missingParts()).isEqualTo(1);
  }

  @Test
  public void aSearchWithFewAnsweredPartsIsNotHedged() {
    fixture.submit();
    fixture.answer(fixture.attempt(0));
    fixture.advanceInSteps(ForwardFixture.OBJECTIVE.dividedBy(2));
    assertThat(fixture.sent).hasSize(4);
    fixture.answer(fixture.attempt(1));
    fixture.advanceInSteps(ForwardFixture.OBJECTIVE.dividedBy(6));

    assertThat(fixture.sent).hasSize(6);
  }

  @Test
  public void noAttemptIsSentWhenTooLittleTimeIsLeft() {
    fixture.submit();
    // Servers of a search stop after half of the time for which its caller waits.
    fixture.advanceInSteps(ForwardFixture.TIMEOUT.minusMillis(15).dividedBy(2).minusMillis(2));
    fixture.fail(fixture.attempt(0), ServerFailure.UNREACHABLE);

    assertThat(fixture.sent).hasSize(4);
  }

  @Test
  public void pastTheObjectiveAnswersOnceMinimumCoverageIsReached() {
    fixture.submit();
    fixture.answer(fixture.attempt(0));
    fixture.advance(ForwardFixture.OBJECTIVE);
    assertThat(fixture.outcomes).isEmpty();
    fixture.answer(fixture.attempt(1));

    assertThat(fixture.merged(0).missingParts()).isEqualTo(2);
  }

  @Test
  public void aSearchBelowMinimumCoverageContinuesPastTheObjective() {
    fixture.submit();
    fixture.answer(fixture.attempt(0));
    fixture.advanceInSteps(ForwardFixture.OBJECTIVE.multipliedBy(2).plusMillis(100));
    assertThat(fixture.outcomes).isEmpty();
    fixture.answer(fixture.attempt(1));

    assertThat(fixture.merged(0).missingParts()).isEqualTo(2);
  }

  @Test
  public void pastTheObjectiveHedgesContinueBelowMinimumCoverage() {
    fixture.route(true, new RouteTarget.AllShards(SHARDS, 4, 1.0));
    fixture.submit();
    fixture.answer(fixture.attempt(0));
    fixture.answer(fixture.attempt(1));
    fixture.answer(fixture.attempt(2));
    String slow = fixture.attempt(3).server().service();
    reportBusy(slow);
    fixture.advanceInSteps(ForwardFixture.OBJECTIVE);
    assertThat(fixture.sent).hasSize(4);
    reportIdle(slow);
    fixture.advanceInSteps(ForwardFixture.OBJECTIVE.dividedBy(2));
    assertThat(fixture.sent).hasSize(5);
    fixture.answer(fixture.last());

    assertThat(fixture.merged(0).missingParts()).isZero();
  }

  private void reportBusy(String service) {
    report(service, new LoadReport(2, 12, 2, LoadReport.USUAL_WORK_FACTOR));
  }

  private void reportIdle(String service) {
    report(service, new LoadReport(0, 0, 2, LoadReport.USUAL_WORK_FACTOR));
  }

  private void report(String service, LoadReport load) {
    for (ServerState server : fixture.directory.ofService(service)) {
      fixture.directory.onReport(server.id(), load, fixture.clock.nanoTime());
    }
  }

  @Test
  public void aRetryingCallerHasLessOfTheObjectiveLeft() {
    for (int i = 0; i < 3; i++) {
      fixture.submit();
      fixture.sent.subList(4 * i, 4 * i + 4).forEach(fixture::answer);
    }
    fixture.submit(ForwardFixture.TIMEOUT.minus(Duration.ofMillis(150)));
    fixture.sent.subList(12, 15).forEach(fixture::answer);
    fixture.advanceInSteps(Duration.ofMillis(50));

    assertThat(fixture.outcomes).hasSize(4);
    assertThat(fixture.merged(3).missingParts()).isEqualTo(1);
  }

  @Test
  public void hedgesASlowPartAtItsOtherServer() {
    fixture.submit();
    for (int i = 0; i < 3; i++) {
      fixture.answer(fixture.attempt(i));
    }
    fixture.advanceInSteps(Duration.ofMillis(100));
    assertThat(fixture.sent).hasSize(5);
    assertThat(fixture.last().server().service()).isEqualTo(fixture.attempt(3).server().service());
    assertThat(fixture.last().server().id()).isNotEqualTo(fixture.attempt(3).server().id());
    fixture.answer(fixture.last());

    assertThat(fixture.merged(0).missingParts()).isZero();
    assertThat(fixture.cancelled).isEmpty();
  }

  @Test
  public void theAnswerOfTheHedgedAttemptIsIgnored() {
    hedgesASlowPartAtItsOtherServer();
    fixture.answer(fixture.attempt(3));

    assertThat(fixture.outcomes).hasSize(1);
    assertThat(fixture.coordinator.inProgress()).isZero();
  }

  @Test
  public void aStalledServerIsAvoidedByLaterRequests() {
    fixture.submit();
    for (int i = 0; i < 3; i++) {
      fixture.answer(fixture.attempt(i));
    }
    fixture.advanceInSteps(Duration.ofMillis(130));
    String stalled = fixture.attempt(3).server().id();
    for (int i = 0; i < 10; i++) {
      int before = fixture.sent.size();
      fixture.submit();
      assertThat(fixture.sent.subList(before, before + 4))
          .noneMatch(attempt -> attempt.server().id().equals(stalled));
      fixture.sent.subList(before, before + 4).forEach(fixture::answer);
    }
  }

  @Test
  public void aShedPartIsTriedAtTheOtherServer() {
    fixture.submit();
    fixture.answer(fixture.attempt(0), ForwardFixture.shed());
    assertThat(fixture.sent).hasSize(5);
    fixture.sent.subList(1, 5).forEach(fixture::answer);

    assertThat(fixture.merged(0).missingParts()).isZero();
  }

  @Test
  public void aPartThatFailsAtBothServersIsLeftOut() {
    fixture.submit();
    fixture.fail(fixture.attempt(0), ServerFailure.BROKEN);
    fixture.fail(fixture.attempt(4), ServerFailure.UNREACHABLE);
    fixture.sent.subList(1, 4).forEach(fixture::answer);

    assertThat(fixture.merged(0).missingParts()).isEqualTo(1);
  }

  @Test
  public void aServerErrorIsNotMerged() {
    fixture.submit();
    fixture.answer(fixture.attempt(0), ForwardFixture.serverError());
    fixture.answer(fixture.attempt(4), ForwardFixture.serverError());
    fixture.sent.subList(1, 4).forEach(fixture::answer);

    assertThat(fixture.merged(0).signatures()).hasSize(3);
  }

  @Test
  public void tooManyLostPartsEndTheRequestAtOnce() {
    fixture.submit();
    // Without any answer, the request would be suspected of crashing servers.
    fixture.answer(fixture.attempt(3));
    for (int part = 0; part < 3; part++) {
      fixture.fail(fixture.attempt(part), ServerFailure.BROKEN);
      // The other server, then both of them a second time.
      for (int more = 0; more < 3; more++) {
        fixture.fail(fixture.last(), ServerFailure.BROKEN);
      }
    }

    assertThat(fixture.error(0).kind()).isEqualTo(ErrorKind.COVERAGE_TOO_LOW);
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.UNKNOWN);
  }

  @Test
  public void withoutServersOfEnoughShardsNothingIsSent() {
    for (String service : new String[] {"s1", "s2", "s3"}) {
      for (String letter : new String[] {"-a", "-b"}) {
        fixture.directory.onGone(service + letter, fixture.clock.nanoTime());
      }
    }
    fixture.advance(Duration.ofSeconds(3));
    fixture.submit();

    assertThat(fixture.sent).isEmpty();
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.NO);
    assertThat(fixture.error(0).retryAfter()).isPresent();
  }

  @Test
  public void recentlyDepartedServersAreTheLastResort() {
    fixture.directory.onGone("s1-a", fixture.clock.nanoTime());
    fixture.directory.onGone("s1-b", fixture.clock.nanoTime());
    fixture.submit();

    assertThat(fixture.sent).hasSize(4);
  }

  @Test
  public void aDrainingServerGetsNothingWhileThereIsAnother() {
    fixture.directory.onEntry(ForwardFixture.entry("s1-a", "s1", true), fixture.clock.nanoTime());
    for (int i = 0; i < 20; i++) {
      fixture.submit();
    }

    assertThat(fixture.sent).noneMatch(attempt -> attempt.server().id().equals("s1-a"));
  }

  @Test
  public void silentServersEndTheRequestSoonAfterTheAttemptDeadline() {
    fixture.submit(Duration.ofSeconds(30));
    fixture.advanceInSteps(ForwardFixture.TIMEOUT.dividedBy(2));
    assertThat(fixture.outcomes).isEmpty();
    fixture.advanceInSteps(Duration.ofMillis(50));

    assertThat(fixture.error(0).kind()).isEqualTo(ErrorKind.COVERAGE_TOO_LOW);
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.UNKNOWN);
  }

  @Test
  public void partsWithoutAConnectionEndTheRequestAtTheAttemptDeadline() {
    fixture.route(true, new RouteTarget.AllShards(SHARDS, 4, 1.0));
    int before = 0;
    while (fixture.sent.size() == before + SHARDS.size() || before == 0) {
      before = fixture.sent.size();
      fixture.submit();
    }
    int waiting = fixture.outcomes.size();
    fixture.advanceInSteps(ForwardFixture.TIMEOUT.dividedBy(2));

    assertThat(waiting).isZero();
    assertThat(fixture.outcomes).hasSizeGreaterThan(0);
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.NO);
  }

  @Test
  public void aDisconnectedCallersAttemptsAreCancelled() {
    ForwardHandle handle = fixture.submit();
    fixture.answer(fixture.attempt(0));
    handle.cancel();

    assertThat(fixture.cancelled).hasSize(3);
    assertThat(fixture.outcomes).isEmpty();
    assertThat(fixture.coordinator.inProgress()).isZero();
  }

  @Test
  public void aShardRunsOnNoMoreServersThanTheRouteAllows() {
    fixture.server("s1-c", "s1");
    fixture.server("s1-d", "s1");
    fixture.submit();
    for (int i = 0; i < 8; i++) {
      for (ServerAttempt attempt : List.copyOf(fixture.sent)) {
        if (attempt.server().service().equals("s1")) {
          fixture.fail(attempt, ServerFailure.BROKEN);
        }
      }
    }

    List<String> servers =
        fixture.sent.stream()
            .filter(attempt -> attempt.server().service().equals("s1"))
            .map(attempt -> attempt.server().id())
            .toList();
    assertThat(Set.copyOf(servers)).hasSize(2);
    assertThat(servers).hasSize(4);
  }

  /**
   * For four seconds, connection resets lose two of five answers of the servers of half of the
   * shards. With only two attempts for each shard, such a search misses its minimum coverage.
   */
  @Test
  public void aPartWithLostAnswersMayRunAgainOnTheSameServer() {
    ForwardFixture router = new ForwardFixture();
    router.route(true, new RouteTarget.AllShards(ImmutableList.of("s1", "s2"), 4, 1));
    for (String shard : List.of("s1", "s2")) {
      for (String copy : List.of("a", "b", "c")) {
        router.server(shard + copy, shard);
      }
    }
    router.submit();
    router.answer(router.attempt(1));
    router.fail(router.attempt(0), ServerFailure.BROKEN);
    router.fail(router.attempt(2), ServerFailure.BROKEN);
    ServerAttempt third = router.attempt(3);
    router.answer(third);

    assertThat(router.merged(0).missingParts()).isZero();
    // The route allows two servers per shard.
    assertThat(third.server().id())
        .isIn(router.attempt(0).server().id(), router.attempt(2).server().id());
  }

  @Test
  public void attemptsOfAPartAreBounded() {
    ForwardFixture router = new ForwardFixture();
    router.route(true, "s1", "s2", "s3");
    router.server("s3a", "s3");
    for (String shard : List.of("s1", "s2")) {
      router.server(shard + "a", shard);
      router.server(shard + "b", shard);
    }
    router.submit();
    // Without any answer, the request would be suspected of crashing servers.
    router.answer(router.attempt(2));
    for (int sent = 0; sent < router.sent.size(); sent++) {
      router.fail(router.attempt(sent), ServerFailure.BROKEN);
    }
    assertThat(router.sent).hasSize(9);
    assertThat(router.error(0).kind()).isEqualTo(ErrorKind.COVERAGE_TOO_LOW);
  }
}

package io.arrowarch.core.query;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.wire.BackendReply.NotRunReason;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Drives the state machine of a query with single events: replies, failures and timers. Guards
 * against answers from mixed snapshots, wrong statements about execution, and attempts that must
 * not be sent.
 */
public class QueryCoordinatorTest {
  private CoordinatorFixture fixture;

  @BeforeMethod
  public void createFixture() {
    fixture = new CoordinatorFixture();
  }

  @Test
  public void searchAsksEveryShardOnceAndMerges() {
    fixture.reportSnapshots(4L, 5L).submit("search");
    assertThat(fixture.sent).hasSize(2);
    fixture.sent.forEach(fixture::succeed);
    assertThat(fixture.answer().coverage().fraction()).isEqualTo(1.0);
    assertThat(fixture.answer().snapshot()).contains(5L);
    assertThat(fixture.answer().hits()).hasSize(2);
  }

  /** In a search sent without a snapshot, shards could answer from different snapshots. */
  @Test
  public void searchWithoutAnyReportedSnapshotIsRefusedUnsent() {
    fixture.reportSnapshots().submit("search");
    assertThat(fixture.sent).isEmpty();
    assertThat(fixture.error().kind()).isEqualTo(ErrorKind.COVERAGE_TOO_LOW);
    assertThat(fixture.error().executed()).isEqualTo(Executed.NO);
  }

  @Test
  public void searchUsesTheSnapshotThatCoversMostOfTheLayout() {
    fixture.reportSnapshots(4L);
    fixture.report("a0", false, 4L, 5L);
    fixture.submit("search");
    assertThat(fixture.sent.get(0).request().snapshot()).contains(4L);
  }

  @Test
  public void partialAnswerAtDeadlineNamesMissingShard() {
    fixture.reportSnapshots(5L).submit("search");
    fixture.succeed(attemptFor("s0"));
    fixture.advance(Duration.ofMillis(100));
    assertThat(fixture.answer().coverage().fraction()).isEqualTo(0.75);
    assertThat(fixture.answer().coverage().missing()).containsExactly("s1");
  }

  @Test
  public void coverageBelowMinimumAtDeadlineIsAnErrorOfProvenExecution() {
    fixture.reportSnapshots(5L).submit("search");
    fixture.succeed(attemptFor("s1"));
    fixture.advance(Duration.ofMillis(100));
    assertThat(fixture.error().kind()).isEqualTo(ErrorKind.DEADLINE_EXCEEDED);
    assertThat(fixture.error().executed()).isEqualTo(Executed.YES);
    assertThat(fixture.error().retryAfter()).isPresent();
  }

  @Test
  public void slowAttemptIsHedgedAndTheLoserCancelled() {
    fixture.reportSnapshots(5L).submit("search");
    Attempt slow = attemptFor("s0");
    fixture.succeed(attemptFor("s1"));
    fixture.advance(Duration.ofMillis(40));
    assertThat(fixture.sent).hasSize(3);
    Attempt hedge = fixture.sent.get(2);
    assertThat(hedge.backend().id()).isNotEqualTo(slow.backend().id());
    fixture.succeed(hedge);
    assertThat(fixture.cancelled).containsExactly(slow);
    fixture.succeed(slow);
    assertThat(fixture.outcomes).hasSize(1);
    assertThat(fixture.coordinator.counters().lateReplies()).isEqualTo(1);
  }

  /** After a pause of the process, the hedge timer may run once the confirmation has expired. */
  @Test
  public void hedgeTimerAfterPauseSendsNothingWithoutConfirmedConfiguration() {
    fixture.reportSnapshots(5L).submit("search");
    fixture.confirmed = false;
    fixture.advance(Duration.ofMillis(40));
    assertThat(fixture.sent).hasSize(2);
  }

  /** The process may have been suspended between the start of an attempt and its writing. */
  @Test
  public void attemptMayNotBeWrittenAfterItsDeadline() {
    fixture.reportSnapshots(5L).submit("post");
    Attempt attempt = fixture.sent.get(0);
    assertThat(fixture.coordinator.mayWrite(attempt.id())).isTrue();
    fixture.clock.advance(Duration.ofMillis(100));
    assertThat(fixture.coordinator.mayWrite(attempt.id())).isFalse();
  }

  @Test
  public void replyFromAnotherSnapshotIsNotMerged() {
    fixture.reportSnapshots(5L).submit("search");
    Attempt attempt = attemptFor("s0");
    fixture.coordinator.onReply(attempt.id(), fixture.success(attempt, Optional.of(6L)));
    fixture.succeed(attemptFor("s1"));
    assertThat(fixture.outcomes).isEmpty();
    assertThat(fixture.coordinator.counters().invalidReplies()).isEqualTo(1);
    assertThat(fixture.sent).hasSize(3);
  }

  /** A reply from the old snapshot must not be merged with replies from the new one. */
  @Test
  public void vanishedSnapshotReplansTheWholeQuery() {
    fixture.reportSnapshots(5L).submit("search");
    fixture.succeed(attemptFor("s1"));
    fixture.reportSnapshots(6L);
    fixture.refuse(attemptFor("s0"), NotRunReason.SNAPSHOT_GONE, 6L);
    assertThat(fixture.sent).hasSize(4);
    fixture.succeed(fixture.sent.get(2));
    fixture.succeed(fixture.sent.get(3));
    assertThat(fixture.answer().snapshot()).contains(6L);
    assertThat(fixture.answer().coverage().fraction()).isEqualTo(1.0);
  }

  @Test
  public void refusedPostIsReportedAsNotExecutedAndNotRetried() {
    fixture.reportSnapshots(5L).submit("post");
    fixture.refuse(fixture.sent.get(0), NotRunReason.SHED, 5L);
    assertThat(fixture.sent).hasSize(1);
    assertThat(fixture.error().executed()).isEqualTo(Executed.NO);
  }

  /** The back end may have run the post before the connection broke. */
  @Test
  public void postOnLostConnectionIsOfUnknownExecutionAndNotRetried() {
    fixture.reportSnapshots(5L).submit("post");
    fixture.coordinator.onFailure(fixture.sent.get(0).id(), AttemptFailure.CONNECTION_LOST);
    assertThat(fixture.sent).hasSize(1);
    assertThat(fixture.error().executed()).isEqualTo(Executed.UNKNOWN);
  }

  @Test
  public void drainingReplicaGetsNoAttemptAfterItsRefusal() {
    fixture.reportSnapshots(5L).submit("fetch");
    Attempt refused = fixture.sent.get(0);
    fixture.refuse(refused, NotRunReason.DRAINING, 5L);
    Attempt retried = fixture.sent.get(1);
    assertThat(retried.backend().id()).isNotEqualTo(refused.backend().id());
    fixture.succeed(retried);
    for (int i = 0; i < 20; i++) {
      fixture.submit("fetch");
      Attempt last = fixture.sent.get(fixture.sent.size() - 1);
      assertThat(last.backend().id()).isNotEqualTo(refused.backend().id());
      fixture.succeed(last);
    }
  }

  @Test
  public void replicaWithoutRecentReportGetsNoNewWork() {
    fixture.reportSnapshots(5L);
    fixture.advance(Duration.ofMillis(2_001));
    fixture.submit("search");
    assertThat(fixture.sent).isEmpty();
  }

  @Test
  public void retriesStopWhenTheBudgetIsSpent() {
    fixture.reportSnapshots(5L);
    for (int i = 0; i < 60; i++) {
      int first = fixture.sent.size();
      fixture.submit("fetch");
      for (int j = first; j < fixture.sent.size(); j++) {
        fixture.coordinator.onFailure(fixture.sent.get(j).id(), AttemptFailure.CONNECTION_LOST);
      }
    }
    QueryCounters counters = fixture.coordinator.counters();
    assertThat(counters.retries()).isLessThanOrEqualTo(16 + counters.firstAttempts() / 20 + 1);
  }

  /**
   * A replica becomes unreachable while a shard waits for room. If the shard were queued there
   * again, the router would poll and queue it in an endless loop.
   */
  @Test(timeOut = 20_000)
  public void shardWaitingForRoomIsNotQueuedAtAReplicaThatMayNotTakeIt() {
    fixture.reportSnapshots(5L);
    for (int i = 0; i < 5; i++) {
      fixture.submit("fetch");
    }
    assertThat(fixture.sent).hasSize(4);
    fixture.coordinator.onFailure(fixture.sent.get(0).id(), AttemptFailure.UNREACHABLE);
    List.copyOf(fixture.sent).forEach(fixture::succeed);
    fixture.advance(Duration.ofMillis(200));
    assertThat(fixture.outcomes).hasSize(5);
  }

  private Attempt attemptFor(String shard) {
    return fixture.sent.stream()
        .filter(attempt -> attempt.request().shard().equals(shard))
        .findFirst()
        .orElseThrow();
  }
}

package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.suspect.RequestKey;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How one router handles a request that crashes the servers running it. */
public final class CrashGuardTest {
  private static final Duration PAST_CANARY_TIME = Duration.ofSeconds(3);
  private static final Duration PAST_QUARANTINE = Duration.ofMinutes(11);

  private ForwardFixture router;

  @BeforeMethod
  public void create() {
    router = new ForwardFixture();
    router.route(true, "s1", "s2", "s3", "s4");
    for (int shard = 1; shard <= 4; shard++) {
      for (String copy : new String[] {"a", "b", "c"}) {
        router.server("s" + shard + copy, "s" + shard);
      }
    }
  }

  @Test
  public void thirdCrashStopsFurtherAttempts() {
    router.submit();
    breakAllConnections();

    // One attempt per shard, and two retries before the third crash.
    assertThat(router.sent).hasSize(6);
    assertThat(router.error(0).kind()).isEqualTo(ErrorKind.ENDS_SERVERS);
    assertThat(router.error(0).executed()).isEqualTo(Executed.UNKNOWN);
    assertThat(router.error(0).retryAfter()).isEmpty();
  }

  @Test
  public void suspectedRequestIsSentToOneServerWhenResubmitted() {
    suspect();
    router.submit();

    assertThat(router.sent).hasSize(1);
  }

  @Test
  public void resubmissionIsRefusedWhileItsCanaryRuns() {
    suspect();
    router.submit();
    router.submit();

    assertThat(router.sent).hasSize(1);
    assertThat(router.error(1).kind()).isEqualTo(ErrorKind.ENDS_SERVERS);
    assertThat(router.error(1).executed()).isEqualTo(Executed.NO);
  }

  @Test
  public void requestThatCrashesItsCanaryServerIsQuarantined() {
    suspect();
    router.submit();
    router.fail(router.last(), ServerFailure.BROKEN);
    assertThat(router.error(1).kind()).isEqualTo(ErrorKind.ENDS_SERVERS);
    router.submit();
    router.advance(PAST_CANARY_TIME);
    router.submit();

    assertThat(router.sent).hasSize(1);
    assertThat(router.error(2).kind()).isEqualTo(ErrorKind.ENDS_SERVERS);
    assertThat(router.error(2).executed()).isEqualTo(Executed.NO);
    assertThat(router.error(2).retryAfter()).isEmpty();
  }

  @Test
  public void requestIsSentToAllShardsAfterItsCanaryIsAnswered() {
    suspect();
    router.submit();
    router.answer(router.last());
    assertThat(router.sent).hasSize(5);
    router.sent.subList(1, 5).forEach(router::answer);

    assertThat(router.merged(1).missingParts()).isZero();
    router.submit();
    assertThat(router.sent).hasSize(9);
  }

  @Test
  public void canaryIsOneAttemptAndIsNotHedged() {
    suspect();
    router.submit();
    router.advanceInSteps(ForwardFixture.OBJECTIVE);

    assertThat(router.sent).hasSize(1);
  }

  /** A router that was cut off may report an answer long after it came. */
  @Test
  public void clearanceThatIsOlderThanTheCrashesDoesNotClear() {
    router.advance(Duration.ofSeconds(10));
    suspect();
    router.coordinator.onPeerMessage(clearance(Duration.ofSeconds(5)));
    router.submit();
    assertThat(router.sent).hasSize(1);

    router.advance(Duration.ofMillis(10));
    router.coordinator.onPeerMessage(clearance(Duration.ZERO));
    router.submit();
    assertThat(router.sent).hasSize(5);
  }

  /** A report of another router that a server answered the request some time ago. */
  private static PeerMessage clearance(Duration age) {
    RequestKey key = RequestKey.of("GET", "host", "/path", Optional.empty(), new byte[0]);
    return new PeerMessage(
        new MemberRecord("other", "zone-a", "other", 1, 1, 0, MemberRecord.State.ALIVE),
        new PeerBody.SuspectNotice(
            ImmutableList.of(
                new PeerBody.SuspectReport(
                    key.text(), "clearance", ImmutableList.of(), age.toMillis()))));
  }

  @Test
  public void singleRouterRunsCanaryAlsoLater() {
    suspect();
    router.advance(PAST_CANARY_TIME);
    router.submit();

    assertThat(router.sent).hasSize(1);
  }

  @Test
  public void canariesWithoutAResultAreLimited() {
    suspect();
    for (int submission = 0; submission < 5; submission++) {
      router.submit();
      router.advanceInSteps(ForwardFixture.OBJECTIVE.multipliedBy(4));
    }
    assertThat(router.sent).hasSize(1);
    for (int submission = 0; submission < 5; submission++) {
      router.advance(Duration.ofSeconds(40));
      router.submit();
      router.advanceInSteps(ForwardFixture.OBJECTIVE.multipliedBy(4));
    }

    assertThat(router.sent).hasSize(2);
  }

  /** Its canary shows that it is harmless if it is not cancelled with its caller. */
  @Test
  public void harmlessRequestIsNotQuarantinedWhenItsCallersLeave() {
    suspect();
    for (int submission = 0; submission < 3; submission++) {
      router.submit().cancel();
      router.advance(Duration.ofMillis(50));
      if (!router.cancelled.contains(router.last())) {
        router.answer(router.last());
      }
    }
    router.sent.clear();
    router.submit();

    assertThat(router.sent).hasSize(4);
  }

  @Test
  public void canaryOfACallerWhoLeftIsCancelledWithinHalfASecond() {
    suspect();
    router.submit().cancel();
    router.advanceInSteps(Duration.ofMillis(500));

    assertThat(router.cancelled).contains(router.last());
  }

  @Test
  public void quarantinedRequestIsNotForgottenForManyOthers() {
    suspect();
    router.submit();
    router.fail(router.last(), ServerFailure.BROKEN);
    for (int other = 0; other < 10_000; other++) {
      ForwardHandle handle = router.submit("other", "/other/" + other, ForwardFixture.TIMEOUT);
      router.fail(router.last(), ServerFailure.BROKEN);
      handle.cancel();
    }
    router.sent.clear();
    router.submit();

    assertThat(router.sent).isEmpty();
  }

  @Test
  public void quarantinedRequestGetsACanaryAfterTheQuarantine() {
    suspect();
    router.submit();
    router.fail(router.last(), ServerFailure.BROKEN);
    router.advance(PAST_QUARANTINE);
    router.submit();
    assertThat(router.sent).hasSize(2);
    router.answer(router.last());

    assertThat(router.sent).hasSize(6);
  }

  @Test
  public void harmlessSearchLosesNoPartsToConnectionResets() {
    router.submit();
    for (int part = 0; part < 3; part++) {
      router.fail(router.attempt(part), ServerFailure.BROKEN);
    }
    int sentBefore = router.sent.size();
    router.answer(router.attempt(3));
    assertThat(router.sent.size()).isGreaterThan(sentBefore);
    router.sent.subList(4, router.sent.size()).forEach(router::answer);

    assertThat(router.merged(0).missingParts()).isZero();
  }

  @Test
  public void postponedPartsAreAbandonedWhenNoAnswerComes() {
    router.submit();
    for (int part = 0; part < 3; part++) {
      router.fail(router.attempt(part), ServerFailure.BROKEN);
    }
    router.advanceInSteps(ForwardFixture.TIMEOUT);

    assertThat(router.outcomes).hasSize(1);
    assertThat(router.outcomes.get(0).isLeft()).isTrue();
  }

  @Test
  public void otherRequestsAreUnaffected() {
    suspect();
    router.submit("other", "/other", ForwardFixture.TIMEOUT);

    assertThat(router.sent).hasSize(4);
  }

  @Test
  public void unreachableServersRaiseNoSuspicion() {
    router.submit();
    while (router.outcomes.isEmpty()) {
      router.fail(router.last(), ServerFailure.UNREACHABLE);
      router.sent.remove(router.last());
      if (router.sent.isEmpty()) {
        break;
      }
    }

    assertThat(router.coordinator.suspects().isEmpty()).isTrue();
  }

  @Test
  public void singleCrashIsForgottenSoThatNoKeyIsComputed() {
    router.submit();
    router.fail(router.last(), ServerFailure.BROKEN);
    assertThat(router.coordinator.suspects().isEmpty()).isFalse();
    router.advance(Duration.ofMinutes(20));
    router.advance(Duration.ofMinutes(20));

    assertThat(router.coordinator.suspects().isEmpty()).isTrue();
  }

  @Test
  public void nonRepeatableRequestIsItsOwnCanary() {
    router = new ForwardFixture();
    router.route(false, "s");
    for (int server = 0; server < 6; server++) {
      router.server("s-" + server, "s");
    }
    for (int submission = 0; submission < 3; submission++) {
      router.submit();
      router.fail(router.last(), ServerFailure.BROKEN);
    }
    router.submit();
    assertThat(router.sent).hasSize(4);
    router.answer(router.last());

    assertThat(router.sent).hasSize(4);
    assertThat(router.passedOn(3).isSuccess()).isTrue();
  }

  @Test
  public void cancelledAttemptsCountAsCrashesOnceTheirServersVanish() {
    ForwardHandle handle = router.submit();
    handle.cancel();
    removeEntries();

    router.submit();
    assertThat(router.sent).hasSize(5);
  }

  @Test
  public void silentAttemptsCountAsCrashesOnceTheirServersVanish() {
    router.submit();
    router.advanceInSteps(ForwardFixture.TIMEOUT);
    int sentBefore = router.sent.size();
    removeEntries();

    router.submit();
    assertThat(router.sent.size() - sentBefore).isEqualTo(1);
  }

  @Test
  public void answeredAttemptsDoNotCountWhenTheirServersVanish() {
    ForwardHandle handle = router.submit();
    router.answer(router.attempt(3));
    handle.cancel();
    removeEntries();

    router.submit();
    assertThat(router.sent).hasSize(8);
  }

  @Test
  public void cancelledAttemptsDoNotCountWhenTheirServersHaveDrained() {
    ForwardHandle handle = router.submit();
    handle.cancel();
    for (ServerAttempt attempt : router.sent) {
      router.directory.onEntry(
          ForwardFixture.entry(attempt.server().id(), attempt.server().service(), true),
          router.clock.nanoTime());
    }
    removeEntries();

    router.submit();
    assertThat(router.sent).hasSize(8);
  }

  /** Removes the entries of all servers that have received attempts. */
  private void removeEntries() {
    for (ServerAttempt attempt : ImmutableList.copyOf(router.sent)) {
      String server = attempt.server().id();
      router.directory.onGone(server, router.clock.nanoTime());
      router.coordinator.onServerVanished(server);
    }
    router.advance(Duration.ofMillis(400));
  }

  /** Makes the request suspected: at least three servers crash under it and none answers. */
  private void suspect() {
    router.submit();
    breakAllConnections();
    assertThat(router.outcomes).hasSize(1);
    router.sent.clear();
  }

  private void breakAllConnections() {
    for (int sent = 0; sent < router.sent.size(); sent++) {
      router.fail(router.attempt(sent), ServerFailure.BROKEN);
    }
  }
}

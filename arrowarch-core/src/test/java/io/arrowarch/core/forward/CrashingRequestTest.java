package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.Test;

/**
 * Guards against a search that crashes every server that runs it. Its caller resubmits it, each
 * time to another router, and each router sends it to all shards as if it were new. All servers
 * then crash again as soon as they have restarted, and no other search is answered for up to twelve
 * seconds: 40 of 40 servers fell silent within one second under normal load, with 1,957 attempts
 * {@code unreachable} and 285 searches {@code coverage-too-low}.
 *
 * <p>It comes about if routers attribute a broken connection to the server only and not to the
 * request, and do not report suspected requests to each other.
 */
public final class CrashingRequestTest {
  private static final Duration RESUBMISSION_INTERVAL = Duration.ofMillis(700);

  @Test
  public void crashingSearchReachesNoServerThroughAnyRouterOnceKnown() {
    CrashFleet fleet = new CrashFleet(4, 6, 0, 1);
    resubmit(fleet, RESUBMISSION_INTERVAL);

    assertFewLateArrivals(fleet);
  }

  @Test
  public void crashingSingleServerRequestReachesNoServerOnceKnown() {
    CrashFleet fleet = new CrashFleet(4, 1, 0, 2);
    resubmit(fleet, RESUBMISSION_INTERVAL);

    assertFewLateArrivals(fleet);
  }

  /** Its attempts are cancelled before the servers crash, and no connection shows the crashes. */
  @Test
  public void crashingSearchWhoseCallersLeaveReachesNoServerOnceKnown() {
    CrashFleet fleet = new CrashFleet(4, 6, 0, 1);
    for (int submission = 0; submission < 20; submission++) {
      fleet
          .routers
          .get(submission % 4)
          .sendRequestAndLeave(CrashFleet.CRASHING, Duration.ofMillis(8));
      fleet.advance(RESUBMISSION_INTERVAL);
    }

    assertFewLateArrivals(fleet);
  }

  /** Its attempts end without an answer and without a broken connection. */
  @Test
  public void crashingSearchWhoseServersFallSilentReachesNoServerOnceKnown() {
    CrashFleet fleet = new CrashFleet(4, 6, 0, 1);
    fleet.silentCrashes = true;
    resubmit(fleet, RESUBMISSION_INTERVAL);

    assertFewLateArrivals(fleet);
  }

  /** An error response says nothing about what the request does to a server that runs it. */
  @Test
  public void crashingSearchThatSomeServersAnswerWithErrorsReachesNoServerOnceKnown() {
    CrashFleet fleet = new CrashFleet(4, 6, 0, 1);
    fleet.errorRate = 0.3;
    resubmit(fleet, RESUBMISSION_INTERVAL);

    assertFewLateArrivals(fleet);
  }

  /** An answer shows nothing about attempts that are sent after it. */
  @Test
  public void requestThatBecomesCrashingAfterItWasClearedReachesNoServerOnceKnown() {
    CrashFleet fleet = new CrashFleet(4, 6, 0, 1);
    fleet.crashing = false;
    fleet.routers.get(0).sendRequest(CrashFleet.CRASHING);
    fleet.advance(Duration.ofMillis(5));
    fleet.crashServers(4);
    fleet.advance(Duration.ofSeconds(3));
    fleet.crashing = true;
    resubmit(fleet, RESUBMISSION_INTERVAL);

    assertFewLateArrivals(fleet);
  }

  /** A server that crashes again under its id has crashed twice. */
  @Test
  public void crashesOfServersThatRestartUnderTheirIdsAddUp() {
    CrashFleet fleet = new CrashFleet(4, 1, 0, 2);
    fleet.restartUnderSameId = true;
    resubmit(fleet, Duration.ofSeconds(3));

    assertFewLateArrivals(fleet);
  }

  /** Each router sees one of the crashes. */
  @Test
  public void crashesOfOneServerThatDifferentRoutersSeeAddUp() {
    CrashFleet fleet = new CrashFleet(12, 1, 0, 2, true);
    fleet.restartUnderSameId = true;
    for (int submission = 0; submission < 24; submission++) {
      fleet.routers.get(submission % 12).sendRequest(CrashFleet.CRASHING);
      fleet.advance(Duration.ofSeconds(3));
    }

    assertFewLateArrivals(fleet);
  }

  /** The only report of each crash is lost. */
  @Test
  public void crashesThatDifferentRoutersSeeAddUpAlthoughMessagesAreLostForAMoment() {
    CrashFleet fleet = new CrashFleet(12, 1, 0, 2, true);
    for (int submission = 0; submission < 24; submission++) {
      fleet.loss = 1;
      fleet.routers.get(submission % 12).sendRequest(CrashFleet.CRASHING);
      fleet.advance(Duration.ofMillis(500));
      fleet.loss = 0;
      fleet.advance(Duration.ofSeconds(3));
    }

    assertFewLateArrivals(fleet);
  }

  /** Its first crashes are forgotten before the next ones. */
  @Test
  public void crashingRequestThatIsResubmittedEveryFiftySecondsReachesNoServerOnceKnown() {
    CrashFleet fleet = new CrashFleet(4, 1, 0, 2);
    resubmit(fleet, Duration.ofSeconds(50));

    assertFewLateArrivals(fleet);
  }

  private static void assertFewLateArrivals(CrashFleet fleet) {
    assertThat(fleet.ends(CrashFleet.CRASHING)).isGreaterThanOrEqualTo(3);
    assertThat(fleet.arrivalsAfterThirdCrash(CrashFleet.CRASHING)).isLessThanOrEqualTo(3);
  }

  private static void resubmit(CrashFleet fleet, Duration interval) {
    for (int submission = 0; submission < 20; submission++) {
      fleet.routers.get(submission % 4).sendRequest(CrashFleet.CRASHING);
      fleet.advance(interval);
    }
  }

  @Test
  public void otherRequestsAreAnsweredWhileItIsResubmitted() {
    CrashFleet fleet = new CrashFleet(4, 6, 0, 3);
    fleet.routers.get(0).sendRequest(CrashFleet.CRASHING);
    fleet.advance(CrashFleet.PROPAGATION_BOUND);
    for (int submission = 0; submission < 8; submission++) {
      fleet.routers.get(submission % 4).sendRequest(CrashFleet.CRASHING);
      fleet.routers.get((submission + 1) % 4).sendRequest("/other/" + submission);
      fleet.advance(RESUBMISSION_INTERVAL);

      assertThat(fleet.routers.get((submission + 1) % 4).lastOutcome().isRight())
          .as("answer " + submission)
          .isTrue();
    }
  }
}

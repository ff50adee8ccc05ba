package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.Test;

/**
 * A search ended every server that ran it. Its caller sent it again and again, each time to another
 * router, and each router sent it to all shards as if it had never been seen; so all servers of the
 * service ended again as soon as they were back, and nobody else's search was answered for twelve
 * seconds at a time.
 *
 * <p>Nothing on the way of a request knew it again: what a router learnt from a broken connection
 * was about the server, never about the request, and no router told another. The alerts showed it:
 * 40 servers of 40 silent within one second under usual load ({@code servers silent: 11 s 40, 14 s
 * 15, 16 s 18, 20 s 35}), and in the routers' logs 1,957 attempts {@code unreachable} and 285
 * searches {@code coverage-too-low} for a load that had been answered whole a second before.
 */
public final class CrashingRequestTest {
  private static final Duration BETWEEN_COMINGS = Duration.ofMillis(700);

  @Test
  public void aSearchThatEndsServersReachesNoneOnceThatIsKnownWhicheverRouterItComesTo() {
    CrashFleet fleet = new CrashFleet(4, 6, 0, 1);
    for (int coming = 0; coming < 20; coming++) {
      fleet.routers.get(coming % 4).ask(CrashFleet.CRASHING);
      fleet.advance(BETWEEN_COMINGS);
    }

    assertThat(fleet.ends(CrashFleet.CRASHING)).isGreaterThanOrEqualTo(3);
    assertThat(fleet.comingsAfterThirdEnd(CrashFleet.CRASHING)).isLessThanOrEqualTo(3);
  }

  @Test
  public void aRequestToOneServerThatEndsItReachesNoneOnceThatIsKnown() {
    CrashFleet fleet = new CrashFleet(4, 1, 0, 2);
    for (int coming = 0; coming < 20; coming++) {
      fleet.routers.get(coming % 4).ask(CrashFleet.CRASHING);
      fleet.advance(BETWEEN_COMINGS);
    }

    assertThat(fleet.ends(CrashFleet.CRASHING)).isGreaterThanOrEqualTo(3);
    assertThat(fleet.comingsAfterThirdEnd(CrashFleet.CRASHING)).isLessThanOrEqualTo(3);
  }

  @Test
  public void othersAreServedWhileItGoesOnComing() {
    CrashFleet fleet = new CrashFleet(4, 6, 0, 3);
    fleet.routers.get(0).ask(CrashFleet.CRASHING);
    fleet.advance(CrashFleet.CONTACT);
    for (int coming = 0; coming < 8; coming++) {
      fleet.routers.get(coming % 4).ask(CrashFleet.CRASHING);
      fleet.routers.get((coming + 1) % 4).ask("/other/" + coming);
      fleet.advance(BETWEEN_COMINGS);

      assertThat(fleet.routers.get((coming + 1) % 4).lastOutcome().isRight())
          .as("answer " + coming)
          .isTrue();
    }
  }
}

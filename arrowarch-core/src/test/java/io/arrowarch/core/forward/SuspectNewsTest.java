package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.error.ErrorKind;
import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How routers inform each other of requests that crash servers. */
public final class SuspectNewsTest {
  private static final int ROUTERS = 12;
  private static final Duration SOON = Duration.ofMillis(300);

  private CrashFleet fleet;

  @BeforeMethod
  public void create() {
    fleet = new CrashFleet(ROUTERS, 3, 0, 5);
  }

  @Test
  public void quarantineSoonReachesAllRouters() {
    quarantine();
    fleet.advance(SOON);

    assertAllRefuse();
  }

  @Test
  public void restartedRouterLearnsOfTheQuarantine() {
    quarantine();
    fleet.advance(SOON);
    fleet.routers.get(3).kill();
    fleet.advance(Duration.ofSeconds(20));
    fleet.routers.get(3).start();
    fleet.advance(CrashFleet.PROPAGATION_BOUND);

    assertRefuses(fleet.routers.get(3));
  }

  @Test
  public void partitionedRouterLearnsOfTheQuarantineLater() {
    fleet.routers.get(5).partitioned = true;
    quarantine();
    fleet.advance(Duration.ofSeconds(20));
    fleet.routers.get(5).partitioned = false;
    fleet.advance(CrashFleet.PROPAGATION_BOUND);

    assertRefuses(fleet.routers.get(5));
  }

  /** It is told of requests that came lately, and also of the others. */
  @Test
  public void partitionedRouterLearnsOfEachOfManyQuarantinedRequests() {
    fleet.routers.get(5).partitioned = true;
    int requests = 100;
    for (int request = 0; request < requests; request++) {
      for (int router = 0; router < 4; router++) {
        fleet.routers.get(router).sendRequest(CrashFleet.CRASHING + request);
        fleet.advance(Duration.ofMillis(2_100));
      }
    }
    fleet.routers.get(5).partitioned = false;
    fleet.advance(Duration.ofMinutes(3));

    for (int request = 0; request < requests; request++) {
      String path = CrashFleet.CRASHING + request;
      int crashesBefore = fleet.ends(path);
      fleet.routers.get(5).sendRequest(path);
      fleet.advance(SOON);
      // The router may be the one that runs the canary.
      assertThat(fleet.ends(path) - crashesBefore)
          .as("crashes by request " + request)
          .isLessThanOrEqualTo(1);
    }
  }

  @Test
  public void requestClearedByOneRouterRunsAtAllRouters() {
    String harmless = "/sound";
    fleet.routers.get(0).sendRequest(harmless);
    fleet.advance(Duration.ofMillis(5));
    fleet.crashServers(6);
    fleet.advance(Duration.ofMillis(2_100));
    fleet.routers.get(1).sendRequest(harmless);
    fleet.advance(SOON);
    assertThat(fleet.routers.get(1).lastOutcome().isRight()).isTrue();

    for (CrashFleet.Router router : fleet.routers) {
      router.sendRequest(harmless);
    }
    fleet.advance(SOON);
    for (CrashFleet.Router router : fleet.routers) {
      assertThat(router.lastOutcome().isRight()).as("router " + router.number).isTrue();
    }
  }

  @Test
  public void onlyOneRouterRunsALaterCanary() {
    fleet.routers.get(0).sendRequest(CrashFleet.CRASHING);
    fleet.advance(Duration.ofSeconds(6));
    int crashesBefore = fleet.ends(CrashFleet.CRASHING);
    for (CrashFleet.Router router : fleet.routers) {
      router.sendRequest(CrashFleet.CRASHING);
    }
    fleet.advance(SOON);

    assertThat(fleet.ends(CrashFleet.CRASHING) - crashesBefore).isEqualTo(1);
  }

  /** Gets the request quarantined: it crashes servers, then the server of its canary. */
  private void quarantine() {
    fleet.routers.get(0).sendRequest(CrashFleet.CRASHING);
    fleet.advance(Duration.ofMillis(2_100));
    fleet.routers.get(1).sendRequest(CrashFleet.CRASHING);
    fleet.advance(Duration.ofMillis(100));
    assertThat(fleet.ends(CrashFleet.CRASHING)).isGreaterThanOrEqualTo(4);
  }

  private void assertAllRefuse() {
    fleet.routers.forEach(this::assertRefuses);
  }

  private void assertRefuses(CrashFleet.Router router) {
    router.sendRequest(CrashFleet.CRASHING);
    assertThat(router.lastOutcome().getLeft().kind())
        .as("router " + router.number)
        .isEqualTo(ErrorKind.ENDS_SERVERS);
  }
}

package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.store.StoreRevision;
import java.time.Duration;
import org.testng.annotations.Test;

/** Freshness of the views of a fleet under failures after which routers may miss changes. */
public final class FreshnessTest {
  private static final Duration START = Duration.ofSeconds(8);

  /** Requests with API keys are accepted while the view is younger than this. */
  private static final Duration MAX_ACCEPTED_AGE = FollowerFleet.BOUND.minusMillis(150);

  @Test
  public void withoutFailuresEveryViewIsFreshAndFewRoutersCallTheStore() {
    FollowerFleet fleet = new FollowerFleet(40, 4, 1);
    fleet.run(START, () -> {});
    int before = fleet.storeCalls;
    fleet.run(Duration.ofSeconds(30), () -> assertAllFresh(fleet));

    // Each of the four zones has two relays, each of which calls the store every 1.5 s.
    assertThat(fleet.storeCalls - before).isLessThan(8 * 25);
  }

  @Test
  public void followersOfAPartitionedRelayReceiveAChangeWithinTheBound() {
    FollowerFleet fleet = new FollowerFleet(24, 3, 2);
    fleet.store.write("a");
    fleet.run(START, () -> {});
    // A third of the routers, relays among them, get no more answers from the store.
    for (FollowerFleet.Router router : fleet.routers.subList(0, 8)) {
      router.access = FollowerFleet.StoreAccess.ANSWERS_LOST;
    }
    fleet.store.write("a");
    StoreRevision revision = fleet.store.revision();
    fleet.run(Duration.ofSeconds(5), () -> {});
    for (FollowerFleet.Router router : fleet.routers) {
      assertThat(router.known.get("a").revision())
          .as("router " + router.number)
          .isEqualTo(revision);
    }
  }

  @Test
  public void routersThatTheStoreRefusesAreKeptFreshByTheOthers() {
    FollowerFleet fleet = new FollowerFleet(24, 3, 3);
    fleet.run(START, () -> {});
    for (FollowerFleet.Router router : fleet.routers) {
      if (router.number % 3 == 0) {
        router.access = FollowerFleet.StoreAccess.REFUSED;
      }
    }
    fleet.run(Duration.ofSeconds(9), () -> assertAllFresh(fleet));
  }

  @Test
  public void anIsolatedRouterKnowsThatItsViewIsOld() {
    FollowerFleet fleet = new FollowerFleet(12, 3, 4);
    fleet.run(START, () -> {});
    FollowerFleet.Router isolated = fleet.routers.get(5);
    isolated.access = FollowerFleet.StoreAccess.UNREACHABLE;
    isolated.partitionedFromPeers = true;
    fleet.run(FollowerFleet.BOUND, () -> {});

    assertThat(isolated.follower.view().age().orElseThrow())
        .isGreaterThanOrEqualTo(MAX_ACCEPTED_AGE);
  }

  @Test
  public void aRouterPausedForTenSecondsKnowsThatItsViewIsOld() {
    FollowerFleet fleet = new FollowerFleet(12, 3, 5);
    fleet.run(START, () -> {});
    FollowerFleet.Router sleeper = fleet.routers.get(2);
    sleeper.paused = true;
    fleet.run(Duration.ofSeconds(10), () -> {});
    sleeper.wake();

    assertThat(sleeper.follower.view().age().orElseThrow()).isGreaterThan(Duration.ofSeconds(8));
    fleet.run(Duration.ofSeconds(2), () -> {});
    assertThat(sleeper.follower.view().age().orElseThrow()).isLessThan(MAX_ACCEPTED_AGE);
  }

  @Test
  public void aRouterSuspendedForTenSecondsKnowsThatItsViewIsOld() {
    FollowerFleet fleet = new FollowerFleet(12, 3, 6);
    fleet.run(START, () -> {});
    FollowerFleet.Router sleeper = fleet.routers.get(2);
    sleeper.access = FollowerFleet.StoreAccess.UNREACHABLE;
    sleeper.partitionedFromPeers = true;
    sleeper.suspend();
    fleet.run(Duration.ofSeconds(10), () -> {});
    sleeper.wake();

    assertThat(sleeper.follower.view().age().orElseThrow()).isGreaterThan(Duration.ofSeconds(8));
    sleeper.access = FollowerFleet.StoreAccess.NORMAL;
    sleeper.partitionedFromPeers = false;
    fleet.run(Duration.ofSeconds(4), () -> {});
    assertThat(sleeper.follower.view().age().orElseThrow()).isLessThan(MAX_ACCEPTED_AGE);
  }

  private static void assertAllFresh(FollowerFleet fleet) {
    for (FollowerFleet.Router router : fleet.routers) {
      assertThat(router.follower.view().age().orElseThrow())
          .as("age at router " + router.number)
          .isLessThan(MAX_ACCEPTED_AGE);
    }
  }
}

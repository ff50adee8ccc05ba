package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Guards against watches that outlast an outage of the store. While the store is silent, the relays
 * of each zone tell their followers that they cannot be followed, and the followers watch the store
 * themselves. If they do so with the wait of 25 s that is meant for routers which relays keep
 * informed, the store never answers those calls, and after the outage only news of a router that is
 * ahead ends them. Only the relays are ahead, six of sixty routers, and a router hears of two
 * others each second. Some routers would then serve a version that was replaced longer ago than the
 * bound of 5 s, with a view more than 8 s old.
 */
public final class SilentStoreFleetTest {
  private static final int ROUTERS = 60;
  private static final int ZONES = 3;
  private static final Duration START = Duration.ofSeconds(10);
  private static final Duration OUTAGE = Duration.ofSeconds(6);
  private static final Duration SETTLING_TIME = Duration.ofMillis(100);
  private static final int SEEDS = 5;

  private static void setAccess(FollowerFleet fleet, FollowerFleet.StoreAccess access) {
    fleet.routers.forEach(router -> router.access = access);
  }

  private static List<Integer> behind(FollowerFleet fleet, long version) {
    return fleet.routers.stream()
        .filter(router -> router.version < version)
        .map(router -> router.number)
        .toList();
  }

  @Test
  public void aVersionWrittenAfterAnOutageIsInForceEverywhereInTime() {
    for (int seed = 0; seed < SEEDS; seed++) {
      FollowerFleet fleet = new FollowerFleet(ROUTERS, ZONES, seed, false);
      fleet.store.configure(8);
      fleet.run(START, () -> {});
      setAccess(fleet, FollowerFleet.StoreAccess.UNREACHABLE);
      fleet.run(OUTAGE, () -> {});
      setAccess(fleet, FollowerFleet.StoreAccess.NORMAL);
      fleet.run(SETTLING_TIME, () -> {});
      fleet.store.configure(9);
      fleet.run(FollowerFleet.BOUND, () -> {});

      assertThat(behind(fleet, 9)).as("routers without version 9, seed %s", seed).isEmpty();
    }
  }
}

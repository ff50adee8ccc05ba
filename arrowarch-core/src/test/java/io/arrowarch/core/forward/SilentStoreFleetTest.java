package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/**
 * The store was silent for some seconds. Both lookouts of each zone noticed it and told their
 * followers that they could not be followed, so that these watched the store themselves, with the
 * wait of 25 s that was meant for routers which others would tell. The store never answered that
 * call, and when it was back nothing ended it but news of a router that was ahead. Only the
 * lookouts were ahead, six of sixty, and a router hears of two others a second: some routers
 * handled requests by a version that had been replaced long before.
 *
 * <p>A router of 48 real processes logged {@code store state=follows reason="the store"
 * revision=134} at 31:54.0. The store was back for five seconds and version 9 acknowledged for as
 * long when it still refused a path with {@code version=8 viewAgeMs=8099} at 32:00.0; {@code store
 * state=behind revision=135} and {@code configuration version=9 outcome=taken} follow at 32:01.5.
 */
public final class SilentStoreFleetTest {
  private static final int ROUTERS = 60;
  private static final int ZONES = 3;
  private static final Duration START = Duration.ofSeconds(10);
  private static final Duration OUTAGE = Duration.ofSeconds(6);
  private static final Duration SOON = Duration.ofMillis(100);
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
  public void whatIsWrittenAfterASilenceIsInForceEverywhereInTime() {
    for (int seed = 0; seed < SEEDS; seed++) {
      FollowerFleet fleet = new FollowerFleet(ROUTERS, ZONES, seed, false);
      fleet.store.configure(8);
      fleet.run(START, () -> {});
      setAccess(fleet, FollowerFleet.StoreAccess.CUT);
      fleet.run(OUTAGE, () -> {});
      setAccess(fleet, FollowerFleet.StoreAccess.SOUND);
      fleet.run(SOON, () -> {});
      fleet.store.configure(9);
      fleet.run(FollowerFleet.BOUND, () -> {});

      assertThat(behind(fleet, 9)).as("routers without version 9, seed %s", seed).isEmpty();
    }
  }
}

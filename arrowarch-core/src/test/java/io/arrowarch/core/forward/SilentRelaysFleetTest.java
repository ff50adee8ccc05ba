package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Guards against a router that alternates between two silent relays. Both relays of its zone stall
 * or become unreachable without a reset. A call to a relay times out after two seconds, and the
 * relay is then avoided for just as long. When the call to the second relay times out, the first
 * may be chosen again, so that the router never asks the store, which would answer at once. It then
 * stays behind until the other routers declare the relays dead or tell it that it is behind. A
 * version can then come into force 5.04 s after its acknowledgement, beyond the bound of 5 s.
 */
public final class SilentRelaysFleetTest {
  private static final int ROUTERS = 60;
  private static final int ZONES = 3;
  private static final Duration START = Duration.ofSeconds(10);
  private static final int SEEDS = 5;

  @Test
  public void changesArriveInTimeWhenAllRelaysAreSilent() {
    for (int seed = 0; seed < SEEDS; seed++) {
      FollowerFleet fleet = new FollowerFleet(ROUTERS, ZONES, seed, false);
      fleet.store.configure(8);
      fleet.run(START, () -> {});
      List<FollowerFleet.Router> relays =
          fleet.routers.stream().filter(FollowerFleet.Router::isRelay).toList();
      assertThat(relays).hasSize(2 * ZONES);
      relays.forEach(relay -> relay.paused = true);
      fleet.store.configure(9);
      fleet.run(FollowerFleet.BOUND, () -> {});

      List<Integer> behind =
          fleet.routers.stream()
              .filter(router -> !router.paused && router.version < 9)
              .map(router -> router.number)
              .toList();
      assertThat(behind).as("routers without version 9, seed %s", seed).isEmpty();
    }
  }
}

package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Both relays of a zone stood still or could not be reached, without a reset. A router that follows
 * them waited two seconds for one, two seconds for the other, and then asked the first again: that
 * had failed two seconds ago, and was avoided for just as long. So the router never came to ask the
 * store, which would have told it at once, until the others held the relays to be dead or told it
 * that it was behind.
 *
 * <p>Of the router that showed it: a call to one relay at 9.04 s, to the other at 11.04 s, to the
 * first again at 13.04 s; a version acknowledged at 9.87 s was in force at 14.91 s, when another
 * router's word made it leave that call.
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
          fleet.routers.stream().filter(FollowerFleet.Router::isLookout).toList();
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

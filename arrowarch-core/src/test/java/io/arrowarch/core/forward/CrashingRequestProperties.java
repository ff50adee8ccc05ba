package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/**
 * Crashing requests arrive at random routers while racks lose power under load, routers are killed
 * and restarted, and messages between routers are lost.
 */
class CrashingRequestProperties {
  private static final int STEPS = 60;
  private static final String SOUND = "/sound";

  /** Routers may start canaries before they learn of each other's. */
  private static final int MOST_LATE_COMINGS = 3;

  @Property(tries = 40, seed = "36")
  void afterTheThirdEndAndTheBoundNextToNothingReachesServers(
      @ForAll @IntRange(min = 2, max = 12) int size,
      @ForAll @IntRange(min = 1, max = 6) int shards,
      @ForAll @DoubleRange(min = 0, max = 0.3) double loss,
      @ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
    Random random = new Random(seed);
    CrashFleet fleet = new CrashFleet(size, shards, loss, seed);
    int killed = -1;
    for (int step = 0; step < STEPS; step++) {
      CrashFleet.Router router = fleet.routers.get(random.nextInt(size));
      if (!router.dead) {
        router.ask(random.nextInt(3) > 0 ? CrashFleet.CRASHING : SOUND + step);
      }
      int chance = random.nextInt(20);
      if (chance == 0) {
        fleet.endServers(shards);
      } else if (chance == 1 && killed < 0 && size > 2) {
        killed = random.nextInt(size);
        fleet.routers.get(killed).kill();
      } else if (chance < 5 && killed >= 0) {
        fleet.routers.get(killed).start();
        killed = -1;
        // A restarted router first has to learn of the suspected requests.
        fleet.advance(CrashFleet.CONTACT);
      }
      fleet.advance(Duration.ofMillis(20 + random.nextInt(800)));
    }

    assertThat(fleet.comingsAfterThirdEnd(CrashFleet.CRASHING))
        .isLessThanOrEqualTo(MOST_LATE_COMINGS);
  }

  @Property(tries = 40, seed = "37")
  void aSoundRequestThatLostServersIsAnsweredWhenItComesAgain(
      @ForAll @IntRange(min = 2, max = 12) int size,
      @ForAll @IntRange(min = 1, max = 6) int shards,
      @ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
    Random random = new Random(seed);
    CrashFleet fleet = new CrashFleet(size, shards, 0, seed);
    fleet.routers.get(random.nextInt(size)).ask(SOUND);
    fleet.advance(Duration.ofMillis(5));
    fleet.endServers(2 * shards);
    fleet.advance(Duration.ofMillis(random.nextInt(5_000)));
    boolean answered = false;
    for (int coming = 0; coming < 6 * size && !answered; coming++) {
      // Later only one of the routers runs canaries; submitting to each in turn reaches it too.
      CrashFleet.Router router = fleet.routers.get(coming % size);
      router.ask(SOUND);
      fleet.advance(Duration.ofMillis(500));
      answered = router.lastOutcome().isRight();
    }

    assertThat(answered).isTrue();
  }
}

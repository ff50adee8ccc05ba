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
  private static final String HARMLESS = "/sound";

  /** Routers may start canaries before they learn of each other's. */
  private static final int MAXIMUM_LATE_ARRIVALS = 3;

  @Property(tries = 40, seed = "36")
  void fewArrivalsReachServersAfterTheThirdCrashAndTheBound(
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
        router.sendRequest(random.nextInt(3) > 0 ? CrashFleet.CRASHING : HARMLESS + step);
      }
      int chance = random.nextInt(20);
      if (chance == 0) {
        fleet.crashServers(shards);
      } else if (chance == 1 && killed < 0 && size > 2) {
        killed = random.nextInt(size);
        fleet.routers.get(killed).kill();
      } else if (chance < 5 && killed >= 0) {
        fleet.routers.get(killed).start();
        killed = -1;
        // A restarted router first has to learn of the suspected requests.
        fleet.advance(CrashFleet.PROPAGATION_BOUND);
      }
      fleet.advance(Duration.ofMillis(20 + random.nextInt(800)));
    }

    assertThat(fleet.arrivalsAfterThirdCrash(CrashFleet.CRASHING))
        .isLessThanOrEqualTo(MAXIMUM_LATE_ARRIVALS);
  }

  @Property(tries = 40, seed = "37")
  void harmlessRequestIsAnsweredWhenResubmitted(
      @ForAll @IntRange(min = 2, max = 12) int size,
      @ForAll @IntRange(min = 1, max = 6) int shards,
      @ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
    Random random = new Random(seed);
    CrashFleet fleet = new CrashFleet(size, shards, 0, seed);
    fleet.routers.get(random.nextInt(size)).sendRequest(HARMLESS);
    fleet.advance(Duration.ofMillis(5));
    fleet.crashServers(2 * shards);
    fleet.advance(Duration.ofMillis(random.nextInt(5_000)));
    boolean answered = false;
    for (int submission = 0; submission < 6 * size && !answered; submission++) {
      // Later only one of the routers runs canaries; submitting to each in turn reaches it too.
      CrashFleet.Router router = fleet.routers.get(submission % size);
      router.sendRequest(HARMLESS);
      fleet.advance(Duration.ofMillis(500));
      answered = router.lastOutcome().isRight();
    }

    assertThat(answered).isTrue();
  }
}

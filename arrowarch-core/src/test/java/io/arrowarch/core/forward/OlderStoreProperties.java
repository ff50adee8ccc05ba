package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;

/**
 * The store is repeatedly restored from older backups, under partitions, refused calls, lost
 * answers, pauses, lost history and restarts. No router returns to an earlier configuration version
 * while its process runs. Once all failures have ended and the writers have written again, every
 * router has the contents of the store and makes only a bounded number of calls.
 */
class OlderStoreProperties {
  private static final int KEYS = 7;
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(12);

  /** A router confirms its view about every 1.5 s and lists the store once for each new era. */
  private static final int MAX_CALLS_PER_ROUTER_IN_RECOVERY = 40;

  /** The kinds of events; a step's {@code pick} chooses the router and the key. */
  enum Event {
    WRITE,
    DELETE,
    CONFIGURE,
    TAKE_BACKUP,
    RESTORE_BACKUP,
    WRITE_AGAIN,
    REFUSE,
    LOSE_ANSWERS,
    PARTITION_FROM_STORE,
    PARTITION_FROM_PEERS,
    RECOVER,
    PAUSE,
    RESTART,
    RESTART_ALL,
    FORGET_HISTORY
  }

  /** One event, and the time until the next. */
  record Step(Event event, int pick, int millis) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Event> events =
        Arbitraries.frequencyOf(
            Tuple.of(2, Arbitraries.of(Event.values())),
            Tuple.of(1, Arbitraries.of(Event.RESTORE_BACKUP, Event.TAKE_BACKUP, Event.CONFIGURE)));
    Arbitrary<Integer> picks = Arbitraries.integers().between(0, 1_000);
    Arbitrary<Integer> pauses = Arbitraries.integers().between(1, 2_500);
    return Combinators.combine(events, picks, pauses)
        .as(Step::new)
        .list()
        .ofMinSize(6)
        .ofMaxSize(24);
  }

  @Property(tries = 80, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void versionsNeverDecreaseAndAllRoutersCatchUp(
      @ForAll("steps") List<Step> steps,
      @ForAll @IntRange(min = 2, max = 16) int routers,
      @ForAll @IntRange(min = 1, max = 3) int zones) {
    Run run = new Run(new FollowerFleet(routers, zones, steps.size()));
    run.start();
    for (Step step : steps) {
      run.apply(step);
    }
    run.end();
  }

  /** One sequence of steps, with the values that the operator and the servers want stored. */
  private static final class Run {
    private final FollowerFleet fleet;
    private final Map<Integer, Long> versions = new HashMap<>();
    private final boolean[] alive = new boolean[KEYS];
    private long version = 1;

    Run(FollowerFleet fleet) {
      this.fleet = fleet;
    }

    void start() {
      fleet.store.configure(version);
      for (int key = 0; key < KEYS; key++) {
        write(key);
      }
      fleet.store.takeBackup();
    }

    private void write(int key) {
      alive[key] = true;
      fleet.store.write("key-" + key);
    }

    private void delete(int key) {
      alive[key] = false;
      fleet.store.delete("key-" + key);
    }

    void apply(Step step) {
      FollowerFleet.Router router = fleet.routers.get(step.pick() % fleet.routers.size());
      int key = step.pick() % KEYS;
      switch (step.event()) {
        case WRITE -> write(key);
        case DELETE -> delete(key);
        case CONFIGURE -> fleet.store.configure(++version);
        case TAKE_BACKUP -> fleet.store.takeBackup();
        case RESTORE_BACKUP -> fleet.store.restoreBackup();
        case WRITE_AGAIN -> writeAgain();
        case REFUSE -> router.access = FollowerFleet.StoreAccess.REFUSED;
        case LOSE_ANSWERS -> router.access = FollowerFleet.StoreAccess.ANSWERS_LOST;
        case PARTITION_FROM_STORE -> router.access = FollowerFleet.StoreAccess.UNREACHABLE;
        case PARTITION_FROM_PEERS -> router.partitionedFromPeers = true;
        case RECOVER -> recoverAll();
        case PAUSE -> router.paused = true;
        case RESTART -> restart(router);
        case RESTART_ALL -> fleet.routers.forEach(this::restart);
        case FORGET_HISTORY -> fleet.store.forgetHistory();
      }
      fleet.run(Duration.ofMillis(step.millis()), this::checkNoVersionDecreases);
    }

    private void restart(FollowerFleet.Router router) {
      router.start();
      versions.remove(router.number);
    }

    /** Every writer writes its current values again and deletes the keys that should not exist. */
    private void writeAgain() {
      fleet.store.configure(version);
      for (int key = 0; key < KEYS; key++) {
        if (alive[key]) {
          fleet.store.write("key-" + key);
        } else {
          fleet.store.delete("key-" + key);
        }
      }
    }

    private void recoverAll() {
      for (FollowerFleet.Router router : fleet.routers) {
        router.access = FollowerFleet.StoreAccess.NORMAL;
        router.partitionedFromPeers = false;
        if (router.paused) {
          router.wake();
        }
      }
    }

    private void checkNoVersionDecreases() {
      for (FollowerFleet.Router router : fleet.routers) {
        long held = router.follower.view().configurationVersion();
        long before = versions.getOrDefault(router.number, 0L);
        assertThat(held).as("version at router %s", router.number).isGreaterThanOrEqualTo(before);
        versions.put(router.number, held);
      }
    }

    void end() {
      recoverAll();
      fleet.run(Duration.ofSeconds(1), this::checkNoVersionDecreases);
      writeAgain();
      int before = fleet.storeCalls;
      fleet.run(RECOVERY_TIME, this::checkNoVersionDecreases);
      for (FollowerFleet.Router router : fleet.routers) {
        assertThat(router.version).as("version at %s", router.number).isEqualTo(version);
        assertThat(router.present)
            .as("keys at router %s", router.number)
            .isEqualTo(fleet.store.keys());
        assertThat(router.follower.view().position().era()).isEqualTo(fleet.store.revision().era());
      }
      assertThat(fleet.storeCalls - before)
          .isLessThan(MAX_CALLS_PER_ROUTER_IN_RECOVERY * fleet.routers.size());
    }
  }
}

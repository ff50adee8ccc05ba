package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.feed.FeedItem;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/**
 * A router's view of the store is dated correctly: the router knows everything that the store held
 * at the date of its view. This holds under network partitions, refused calls, lost answers,
 * pauses, lost history and restarts. Therefore no request is accepted with an API key that was
 * revoked longer ago than the bound.
 */
class FreshnessProperties {
  private static final int KEYS = 5;
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(12);

  /** The kinds of events; a step's {@code pick} chooses the router and the key. */
  enum Event {
    WRITE,
    DELETE,
    REFUSE,
    LOSE_ANSWERS,
    PARTITION_FROM_STORE,
    PARTITION_FROM_PEERS,
    ISOLATE,
    RECOVER,
    PAUSE,
    RESTART,
    RESTART_ALL,
    FORGET_HISTORY,
    SUSPEND
  }

  /** One event, and the time until the next. */
  record Step(Event event, int pick, int millis) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    return steps(EnumSet.complementOf(EnumSet.of(Event.SUSPEND)));
  }

  @Provide
  Arbitrary<List<Step>> stepsWithSuspensions() {
    return steps(EnumSet.allOf(Event.class));
  }

  private static Arbitrary<List<Step>> steps(Set<Event> chosen) {
    Arbitrary<Event> events = Arbitraries.of(chosen);
    Arbitrary<Integer> picks = Arbitraries.integers().between(0, 1_000);
    Arbitrary<Integer> pauses = Arbitraries.integers().between(1, 2_500);
    return Combinators.combine(events, picks, pauses)
        .as(Step::new)
        .list()
        .ofMinSize(4)
        .ofMaxSize(20);
  }

  @Property(tries = 60, seed = "20261202", shrinking = ShrinkingMode.OFF)
  void noViewIsDatedLaterThanWhatItKnows(
      @ForAll("steps") List<Step> steps,
      @ForAll @IntRange(min = 2, max = 24) int routers,
      @ForAll @IntRange(min = 1, max = 3) int zones) {
    checkAll(steps, routers, zones);
  }

  @Property(tries = 60, seed = "20261203", shrinking = ShrinkingMode.OFF)
  void noViewIsDatedLaterThanWhatItKnowsAfterSuspensions(
      @ForAll("stepsWithSuspensions") List<Step> steps,
      @ForAll @IntRange(min = 2, max = 24) int routers,
      @ForAll @IntRange(min = 1, max = 3) int zones) {
    checkAll(steps, routers, zones);
  }

  private static void checkAll(List<Step> steps, int routers, int zones) {
    FollowerFleet fleet = new FollowerFleet(routers, zones, steps.size());
    for (int key = 0; key < KEYS; key++) {
      fleet.store.write("key-" + key);
    }
    for (Step step : steps) {
      apply(fleet, step);
      fleet.run(Duration.ofMillis(step.millis()), () -> check(fleet));
    }
    recoverAll(fleet);
    fleet.run(RECOVERY_TIME, () -> check(fleet));
    for (FollowerFleet.Router router : fleet.routers) {
      assertThat(router.follower.view().age()).as("age at " + router.number).isPresent();
      assertThat(router.follower.view().age().get()).isLessThan(FollowerFleet.BOUND);
    }
  }

  private static void apply(FollowerFleet fleet, Step step) {
    FollowerFleet.Router router = fleet.routers.get(step.pick() % fleet.routers.size());
    String key = "key-" + step.pick() % KEYS;
    switch (step.event()) {
      case WRITE -> fleet.store.write(key);
      case DELETE -> fleet.store.delete(key);
      case REFUSE -> router.access = FollowerFleet.StoreAccess.REFUSED;
      case LOSE_ANSWERS -> router.access = FollowerFleet.StoreAccess.ANSWERS_LOST;
      case PARTITION_FROM_STORE -> router.access = FollowerFleet.StoreAccess.UNREACHABLE;
      case PARTITION_FROM_PEERS -> router.partitionedFromPeers = true;
      case ISOLATE -> {
        router.access = FollowerFleet.StoreAccess.UNREACHABLE;
        router.partitionedFromPeers = true;
      }
      case RECOVER -> recoverAll(fleet);
      case PAUSE -> router.paused = true;
      case SUSPEND -> router.suspend();
      case RESTART -> router.start();
      case RESTART_ALL -> fleet.routers.forEach(FollowerFleet.Router::start);
      case FORGET_HISTORY -> {
        fleet.store.write(key);
        fleet.store.forgetHistory();
      }
    }
  }

  private static void recoverAll(FollowerFleet fleet) {
    for (FollowerFleet.Router router : fleet.routers) {
      router.access = FollowerFleet.StoreAccess.NORMAL;
      router.partitionedFromPeers = false;
      if (router.paused) {
        router.wake();
      }
    }
  }

  /** Checks that each router knows what the store held at the date of the router's view. */
  private static void check(FollowerFleet fleet) {
    for (FollowerFleet.Router router : fleet.routers) {
      // A suspended machine cannot read its clock, so its view has no age.
      Optional<Duration> age = router.paused ? Optional.empty() : router.follower.view().age();
      if (age.isEmpty()) {
        continue;
      }
      Map<String, FeedItem> held = fleet.store.asOf(fleet.clock.nanoTime() - age.get().toNanos());
      for (FeedItem item : held.values()) {
        FeedItem known = router.known.get(item.key());
        if (known == null && mayHaveMissedDeletedKey(fleet, router, item)) {
          continue;
        }
        assertThat(known).as("%s at router %s", item.key(), router.number).isNotNull();
        assertThat(known.revision()).isGreaterThanOrEqualTo(item.revision());
      }
    }
  }

  /** A router that listed the store after a key's deletion never received that key. */
  private static boolean mayHaveMissedDeletedKey(
      FollowerFleet fleet, FollowerFleet.Router router, FeedItem item) {
    return item.entry().isEmpty()
        || fleet.store.wasDeleted(item.key(), item.revision(), router.follower.view().position());
  }
}

package io.arrowarch.core.tenant;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Runs load patterns of one tenant against the limiters of a fleet in virtual time. Over all
 * routers a tenant must get what its limit allows and no more than the tolerance beyond it, also
 * when routers die, pause or cannot reach each other.
 */
public final class TenantLimiterTest {
  private static final TenantLimit SMALL = new TenantLimit(1, 1);
  private static final TenantLimit LARGE = new TenantLimit(6, 6);
  private static final Duration STEP = Duration.ofMillis(5);
  private static final double STEPS_PER_SECOND = 200;

  private final Random random = new Random(7);

  @Test
  public void aTenantWithinItsLimitIsNeverRefused() {
    for (TenantLimit limit : List.of(SMALL, LARGE)) {
      LimitFleet fleet = new LimitFleet(77, limit, 0, 1);
      load(fleet, Duration.ofSeconds(60), limit.ratePerSecond() / 1.6);
      // Arrivals are random: occasionally more requests arrive than the burst allows.
      assertThat((double) fleet.refused).isLessThan(0.02 * fleet.admittedNanos.size() + 1);
    }
  }

  @Test
  public void aTenantFarBeyondItsLimitGetsItsLimit() {
    LimitFleet fleet = new LimitFleet(77, LARGE, 0.01, 2);
    load(fleet, Duration.ofSeconds(10), 3.7);
    load(fleet, Duration.ofSeconds(7), 28);

    assertThat((double) fleet.maximumWithinWindow(0)).isLessThanOrEqualTo(LimitFleet.bound(LARGE));
    // The limit allows 42 requests in the last seven seconds. Far fewer would mean that requests
    // within the limit were refused.
    assertThat(fleet.admittedNanos.size()).isGreaterThan(37 + 36);
    load(fleet, Duration.ofSeconds(10), 0);
    int refusedBefore = fleet.refused;
    load(fleet, Duration.ofSeconds(10), 3);
    assertThat(fleet.refused - refusedBefore).isLessThan(4);
  }

  @Test
  public void callersThatRetryAtOnceGetNoMoreThanTheLimit() {
    LimitFleet fleet = new LimitFleet(9, LARGE, 0, 3);
    load(fleet, Duration.ofSeconds(10), 400);

    assertThat((double) fleet.maximumWithinWindow(0)).isLessThanOrEqualTo(LimitFleet.bound(LARGE));
    assertThat(fleet.admittedNanos.size()).isBetween(50, 100);
  }

  @Test
  public void aLoweredLimitIsKeptAfterOneWindow() {
    LimitFleet fleet = new LimitFleet(30, LARGE, 0, 4);
    load(fleet, Duration.ofSeconds(10), 5);
    fleet.limit(SMALL);
    load(fleet, LimitFleet.RULES.window(), 5);
    int from = fleet.admittedNanos.size();
    load(fleet, Duration.ofSeconds(15), 5);

    assertThat((double) fleet.maximumWithinWindow(from))
        .isLessThanOrEqualTo(LimitFleet.bound(SMALL));
    assertThat(fleet.admittedNanos.size() - from).isGreaterThanOrEqualTo(13);
  }

  @Test
  public void afterARestartOfAllRoutersARequestIsAdmittedAtOnce() {
    LimitFleet fleet = new LimitFleet(20, LARGE, 0, 5);
    load(fleet, Duration.ofSeconds(8), 20);
    fleet.routers.forEach(LimitFleet.Router::kill);
    fleet.advance(Duration.ofSeconds(1));
    fleet.routers.forEach(LimitFleet.Router::restart);
    int before = fleet.admittedNanos.size();
    fleet.routers.get(3).ask();
    fleet.advance(Duration.ofMillis(400));
    assertThat(fleet.admittedNanos.size()).isEqualTo(before + 1);

    load(fleet, Duration.ofSeconds(8), 20);
    assertThat((double) fleet.maximumWithinWindow(0)).isLessThanOrEqualTo(LimitFleet.bound(LARGE));
  }

  @Test
  public void bothSidesOfANetworkSplitTogetherStayWithinTheLimit() {
    LimitFleet fleet = new LimitFleet(20, LARGE, 0, 6);
    load(fleet, Duration.ofSeconds(8), 5);
    for (LimitFleet.Router one : fleet.routers.subList(0, 10)) {
      for (LimitFleet.Router other : fleet.routers.subList(10, 20)) {
        one.cutFrom(other);
      }
    }
    load(fleet, Duration.ofSeconds(20), 28);
    assertThat((double) fleet.maximumWithinWindow(0)).isLessThanOrEqualTo(LimitFleet.bound(LARGE));
  }

  @Test
  public void aCountingRouterThatPausesOrDiesIsReplaced() {
    LimitFleet fleet = new LimitFleet(12, LARGE, 0, 8);
    for (int round = 0; round < 12; round++) {
      LimitFleet.Router target = fleet.routers.get(round);
      load(fleet, Duration.ofSeconds(4), 20);
      target.paused = true;
      load(fleet, Duration.ofSeconds(4), 20);
      target.resume();
    }
    assertThat((double) fleet.maximumWithinWindow(0)).isLessThanOrEqualTo(LimitFleet.bound(LARGE));
    // The limit allows six requests per second, over 96 seconds.
    assertThat(fleet.admittedNanos.size()).isGreaterThan(400);
  }

  /** Sends requests of one tenant at random times to random routers. */
  private void load(LimitFleet fleet, Duration length, double perSecond) {
    long steps = length.dividedBy(STEP);
    for (long step = 0; step < steps; step++) {
      double expected = perSecond / STEPS_PER_SECOND;
      for (double left = expected; left > 0; left--) {
        if (random.nextDouble() < Math.min(1, left)) {
          fleet.routers.get(random.nextInt(fleet.routers.size())).ask();
        }
      }
      fleet.advance(STEP);
    }
  }
}

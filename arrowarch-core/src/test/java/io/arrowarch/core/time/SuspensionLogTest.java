package io.arrowarch.core.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Suspensions that a log derives from two clocks. A suspension that it misses would make data that
 * is trusted for its age look younger than it is.
 */
public final class SuspensionLogTest {
  private static final long MILLI = Duration.ofMillis(1).toNanos();
  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private long steady;
  private long other;
  private SuspensionLog log;

  @BeforeMethod
  public void create() {
    steady = 7 * SECOND;
    other = 1_000_000 * SECOND;
    log = new SuspensionLog(steady, other);
  }

  @Test
  public void clocksThatGoAlikeTellNothing() {
    pass(SECOND, SECOND + 3 * MILLI);
    pass(SECOND, SECOND - 3 * MILLI);

    assertThat(log.suspendedSinceNanos(0)).isZero();
  }

  @Test
  public void whatTheSteadyClockLeavesOutCountsForMomentsBefore() {
    pass(SECOND, SECOND);
    long before = steady;
    pass(SECOND, 11 * SECOND);
    assertThat(log.suspendedSinceNanos(before)).isEqualTo(10 * SECOND);

    pass(SECOND, SECOND);
    assertThat(log.suspendedSinceNanos(steady)).isZero();
    assertThat(log.suspendedSinceNanos(before)).isEqualTo(10 * SECOND);
  }

  @Test
  public void aMomentBetweenSuspensionAndNoticeCountsAsBefore() {
    long woken = steady + MILLI;
    pass(2 * MILLI, 5 * SECOND);

    assertThat(log.suspendedSinceNanos(woken)).isEqualTo(5 * SECOND - 2 * MILLI);
  }

  @Test
  public void suspensionsAddUp() {
    long before = steady;
    pass(SECOND, 3 * SECOND);
    pass(SECOND, 5 * SECOND);

    assertThat(log.suspendedSinceNanos(before)).isEqualTo(6 * SECOND);
  }

  @Test
  public void aClockSetBackIsNoTimeAndHidesNoLaterSuspension() {
    long before = steady;
    pass(SECOND, -2 * SECOND);
    assertThat(log.suspendedSinceNanos(before)).isZero();
    pass(SECOND, 4 * SECOND);

    assertThat(log.suspendedSinceNanos(before)).isEqualTo(3 * SECOND);
  }

  @Test
  public void noneIsLostHoweverManyThereAre() {
    long before = steady;
    for (int suspension = 0; suspension < 100; suspension++) {
      pass(SECOND, 2 * SECOND);
    }

    assertThat(log.suspendedSinceNanos(before)).isEqualTo(100 * SECOND);
  }

  private void pass(long steadyNanos, long otherNanos) {
    steady += steadyNanos;
    other += otherNanos;
    log.compareClocks(steady, other);
  }
}

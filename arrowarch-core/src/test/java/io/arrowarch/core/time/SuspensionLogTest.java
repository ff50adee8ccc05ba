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
  private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  private long monotonic;
  private long wall;
  private SuspensionLog log;

  @BeforeMethod
  public void create() {
    monotonic = 7 * SECOND_NANOS;
    wall = 1_000_000 * SECOND_NANOS;
    log = new SuspensionLog(monotonic, wall);
  }

  @Test
  public void clocksInStepShowNoSuspension() {
    advance(SECOND_NANOS, SECOND_NANOS + 3 * MILLI_NANOS);
    advance(SECOND_NANOS, SECOND_NANOS - 3 * MILLI_NANOS);

    assertThat(log.suspendedSinceNanos(0)).isZero();
  }

  @Test
  public void suspensionCountsForEarlierTimesOnly() {
    advance(SECOND_NANOS, SECOND_NANOS);
    long before = monotonic;
    advance(SECOND_NANOS, 11 * SECOND_NANOS);
    assertThat(log.suspendedSinceNanos(before)).isEqualTo(10 * SECOND_NANOS);

    advance(SECOND_NANOS, SECOND_NANOS);
    assertThat(log.suspendedSinceNanos(monotonic)).isZero();
    assertThat(log.suspendedSinceNanos(before)).isEqualTo(10 * SECOND_NANOS);
  }

  @Test
  public void timeBetweenResumeAndNoticeCountsAsEarlier() {
    long woken = monotonic + MILLI_NANOS;
    advance(2 * MILLI_NANOS, 5 * SECOND_NANOS);

    assertThat(log.suspendedSinceNanos(woken)).isEqualTo(5 * SECOND_NANOS - 2 * MILLI_NANOS);
  }

  @Test
  public void suspensionsAddUp() {
    long before = monotonic;
    advance(SECOND_NANOS, 3 * SECOND_NANOS);
    advance(SECOND_NANOS, 5 * SECOND_NANOS);

    assertThat(log.suspendedSinceNanos(before)).isEqualTo(6 * SECOND_NANOS);
  }

  @Test
  public void clockSetBackIsIgnoredAndHidesNoLaterSuspension() {
    long before = monotonic;
    advance(SECOND_NANOS, -2 * SECOND_NANOS);
    assertThat(log.suspendedSinceNanos(before)).isZero();
    advance(SECOND_NANOS, 4 * SECOND_NANOS);

    assertThat(log.suspendedSinceNanos(before)).isEqualTo(3 * SECOND_NANOS);
  }

  @Test
  public void mergedSuspensionsAreNotLost() {
    long before = monotonic;
    for (int suspension = 0; suspension < 100; suspension++) {
      advance(SECOND_NANOS, 2 * SECOND_NANOS);
    }

    assertThat(log.suspendedSinceNanos(before)).isEqualTo(100 * SECOND_NANOS);
  }

  private void advance(long monotonicNanos, long wallNanos) {
    monotonic += monotonicNanos;
    wall += wallNanos;
    log.compareClocks(monotonic, wall);
  }
}

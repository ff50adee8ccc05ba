package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.Test;

/** The part of the objective that a router reserves for the overhead of a delegation. */
public final class DelegationOverheadEstimateTest {
  private static final Duration OBJECTIVE = Duration.ofMillis(100);

  private final DelegationOverheadEstimate unmeasured = new DelegationOverheadEstimate();

  @Test
  public void aFifthIsReservedWithoutAMeasurement() {
    assertThat(unmeasured.nanos(OBJECTIVE)).isEqualTo(millis(20));
  }

  @Test
  public void theLongerOfTheLastTwoMeasurementsCounts() {
    assertThat(estimate(30).nanos(OBJECTIVE)).isEqualTo(millis(30));
    assertThat(estimate(30, 8).nanos(OBJECTIVE)).isEqualTo(millis(30));
    assertThat(estimate(30, 8, 9).nanos(OBJECTIVE)).isEqualTo(millis(9));
  }

  @Test
  public void itStaysWithinBounds() {
    assertThat(estimate(90).nanos(OBJECTIVE)).isEqualTo(millis(40));
    assertThat(estimate(0).nanos(OBJECTIVE)).isEqualTo(millis(3));
  }

  private static DelegationOverheadEstimate estimate(long... ways) {
    DelegationOverheadEstimate estimate = new DelegationOverheadEstimate();
    for (long way : ways) {
      estimate.record(millis(way));
    }
    return estimate;
  }

  private static long millis(long millis) {
    return Duration.ofMillis(millis).toNanos();
  }
}

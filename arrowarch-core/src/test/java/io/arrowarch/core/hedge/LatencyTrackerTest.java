package io.arrowarch.core.hedge;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.Test;

/**
 * Quantiles of recent latencies. They are cached between samples; a cache that outlives its samples
 * or its window, or that mixes quantiles, would give a wrong hedge delay.
 */
public final class LatencyTrackerTest {
  private static final long MILLI = Duration.ofMillis(1).toNanos();
  private static final double MEDIAN = 0.5;

  private final LatencyTracker tracker = new LatencyTracker();

  private void record(int samples, long nanos, long nowNanos) {
    for (int i = 0; i < samples; i++) {
      tracker.record(nanos, nowNanos);
    }
  }

  @Test
  public void aQuantileFollowsWithinAFewSamples() {
    record(60, MILLI, 0);
    assertThat(tracker.quantileNanos(MEDIAN, 7)).isBetween(MILLI * 9 / 10, MILLI * 11 / 10);

    record(76, 10 * MILLI, 0);
    assertThat(tracker.quantileNanos(MEDIAN, 7)).isBetween(9 * MILLI, 11 * MILLI);
  }

  @Test
  public void quantilesOfOneMomentAreKeptApart() {
    LatencyTracker mixed = new LatencyTracker();
    for (int i = 0; i < 100; i++) {
      mixed.record((i % 10 == 0 ? 50 : 1) * MILLI, 0);
    }

    assertThat(mixed.quantileNanos(MEDIAN, 7)).isLessThan(2 * MILLI);
    assertThat(mixed.quantileNanos(0.99, 7)).isGreaterThan(40 * MILLI);
    assertThat(mixed.quantileNanos(MEDIAN, 7)).isLessThan(2 * MILLI);
  }

  @Test
  public void anOldWindowIsForgotten() {
    LatencyTracker changing = new LatencyTracker();
    for (int i = 0; i < 60; i++) {
      changing.record(MILLI, 0);
    }
    assertThat(changing.quantileNanos(MEDIAN, 7)).isLessThan(2 * MILLI);
    long later = Duration.ofSeconds(6).toNanos();
    for (int i = 0; i < 60; i++) {
      changing.record(20 * MILLI, later);
    }

    assertThat(changing.quantileNanos(MEDIAN, 7)).isGreaterThan(18 * MILLI);
  }

  @Test
  public void withFewSamplesNothingIsKnown() {
    LatencyTracker fresh = new LatencyTracker();
    fresh.record(MILLI, 0);

    assertThat(fresh.quantileNanos(MEDIAN, 7)).isEqualTo(7);
  }
}

package io.arrowarch.core.hedge;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.Test;

/**
 * Quantiles of recent latencies. They are cached between samples; a cache that outlives its samples
 * or its window, or that mixes quantiles, would give a wrong hedge delay.
 */
public final class LatencyTrackerTest {
  private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();
  private static final double MEDIAN = 0.5;

  private final LatencyTracker tracker = new LatencyTracker();

  private void record(int samples, long nanos, long nowNanos) {
    for (int i = 0; i < samples; i++) {
      tracker.record(nanos, nowNanos);
    }
  }

  @Test
  public void quantileFollowsLatenciesWithinAFewSamples() {
    record(60, MILLI_NANOS, 0);
    assertThat(tracker.quantileNanos(MEDIAN, 7))
        .isBetween(MILLI_NANOS * 9 / 10, MILLI_NANOS * 11 / 10);

    record(76, 10 * MILLI_NANOS, 0);
    assertThat(tracker.quantileNanos(MEDIAN, 7)).isBetween(9 * MILLI_NANOS, 11 * MILLI_NANOS);
  }

  @Test
  public void cachedQuantilesAreKeptApart() {
    LatencyTracker mixed = new LatencyTracker();
    for (int i = 0; i < 100; i++) {
      mixed.record((i % 10 == 0 ? 50 : 1) * MILLI_NANOS, 0);
    }

    assertThat(mixed.quantileNanos(MEDIAN, 7)).isLessThan(2 * MILLI_NANOS);
    assertThat(mixed.quantileNanos(0.99, 7)).isGreaterThan(40 * MILLI_NANOS);
    assertThat(mixed.quantileNanos(MEDIAN, 7)).isLessThan(2 * MILLI_NANOS);
  }

  @Test
  public void anOldWindowIsForgotten() {
    LatencyTracker changing = new LatencyTracker();
    for (int i = 0; i < 60; i++) {
      changing.record(MILLI_NANOS, 0);
    }
    assertThat(changing.quantileNanos(MEDIAN, 7)).isLessThan(2 * MILLI_NANOS);
    long later = Duration.ofSeconds(6).toNanos();
    for (int i = 0; i < 60; i++) {
      changing.record(20 * MILLI_NANOS, later);
    }

    assertThat(changing.quantileNanos(MEDIAN, 7)).isGreaterThan(18 * MILLI_NANOS);
  }

  @Test
  public void fallbackIsReturnedForTooFewSamples() {
    LatencyTracker fresh = new LatencyTracker();
    fresh.record(MILLI_NANOS, 0);

    assertThat(fresh.quantileNanos(MEDIAN, 7)).isEqualTo(7);
  }
}

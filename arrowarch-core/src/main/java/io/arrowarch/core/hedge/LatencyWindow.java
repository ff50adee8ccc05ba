package io.arrowarch.core.hedge;

import java.util.Arrays;
import java.util.Optional;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Latencies of one window of time. They become a histogram only when there are enough of them for a
 * quantile, so that a rarely used query kind costs a few hundred bytes.
 */
final class LatencyWindow {
  private static final long MAXIMUM_MICROS = 120_000_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final int FIRST_CAPACITY = 4;

  private final int minimumSamples;
  private int[] firstMicros = new int[0];
  private int count;
  private Optional<IntCountsHistogram> micros = Optional.empty();

  /**
   * Creates an empty window.
   *
   * @param minimumSamples how many latencies a quantile needs
   */
  LatencyWindow(int minimumSamples) {
    this.minimumSamples = minimumSamples;
  }

  boolean hasEnoughSamples() {
    return micros.isPresent();
  }

  void record(long latencyNanos) {
    long latencyMicros = Math.min(MAXIMUM_MICROS, Math.max(1, latencyNanos / 1_000));
    if (micros.isPresent()) {
      micros.get().recordValue(latencyMicros);
      return;
    }
    if (count == firstMicros.length) {
      firstMicros = Arrays.copyOf(firstMicros, Math.max(FIRST_CAPACITY, 2 * count));
    }
    firstMicros[count++] = (int) latencyMicros;
    if (count >= minimumSamples) {
      micros = Optional.of(toHistogram());
      firstMicros = new int[0];
    }
  }

  private IntCountsHistogram toHistogram() {
    IntCountsHistogram histogram = new IntCountsHistogram(SIGNIFICANT_DIGITS);
    histogram.setAutoResize(true);
    for (int i = 0; i < count; i++) {
      histogram.recordValue(firstMicros[i]);
    }
    return histogram;
  }

  /**
   * A quantile of the latencies.
   *
   * @param quantile from 0 to 1
   * @return the quantile in nanoseconds; empty if there are not enough latencies
   */
  Optional<Long> quantileNanos(double quantile) {
    return micros.map(recorded -> recorded.getValueAtPercentile(100 * quantile) * 1_000);
  }
}

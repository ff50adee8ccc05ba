package io.arrowarch.core.hedge;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Latencies of successful attempts of one query kind over the last one to two windows. Windows
 * rotate only when a latency is recorded, so that the values may be older after a pause in traffic.
 * Histograms hold microseconds.
 */
public final class LatencyTracker {
  private static final long WINDOW_NANOS = Duration.ofSeconds(5).toNanos();
  private static final long MAXIMUM_MICROS = Duration.ofMinutes(2).toNanos() / 1_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final int MINIMUM_SAMPLES = 50;

  /** Quantiles are cached for this many samples, since computing one scans the whole histogram. */
  private static final int QUANTILE_CACHE_SAMPLES = 64;

  private Histogram current = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
  private Histogram previous = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
  private long windowStartNanos;
  private final Map<Double, Long> cachedQuantiles = new HashMap<>();
  private int samplesSinceCached;

  /** Records the latency of an attempt that was answered. */
  public void record(long latencyNanos, long nowNanos) {
    rotateIfDue(nowNanos);
    current.recordValue(Math.min(MAXIMUM_MICROS, Math.max(1, latencyNanos / 1_000)));
    samplesSinceCached++;
    if (samplesSinceCached >= QUANTILE_CACHE_SAMPLES) {
      clearCachedQuantiles();
    }
  }

  /**
   * A quantile of the current window, or of the previous one while the current has too few samples.
   * The value may be up to {@value #QUANTILE_CACHE_SAMPLES} samples old.
   *
   * @param quantile from 0 to 1
   * @param fallbackNanos returned while neither window has enough samples
   * @return the quantile in nanoseconds
   */
  public long quantileNanos(double quantile, long fallbackNanos) {
    Histogram source = current.getTotalCount() >= MINIMUM_SAMPLES ? current : previous;
    if (source.getTotalCount() < MINIMUM_SAMPLES) {
      return fallbackNanos;
    }
    return cachedQuantiles.computeIfAbsent(
        quantile, wanted -> source.getValueAtPercentile(100 * wanted) * 1_000);
  }

  private void clearCachedQuantiles() {
    cachedQuantiles.clear();
    samplesSinceCached = 0;
  }

  private void rotateIfDue(long nowNanos) {
    if (nowNanos - windowStartNanos < WINDOW_NANOS) {
      return;
    }
    Histogram oldest = previous;
    previous = current;
    oldest.reset();
    current = oldest;
    windowStartNanos = nowNanos;
    clearCachedQuantiles();
  }
}

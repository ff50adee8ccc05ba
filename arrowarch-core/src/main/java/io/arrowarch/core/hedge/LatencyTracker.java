package io.arrowarch.core.hedge;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Latencies of successful attempts of one query kind over the last one to two windows. Windows
 * rotate only when a latency is recorded, so that the values may be older after a pause in traffic.
 */
public final class LatencyTracker {
  private static final long WINDOW_NANOS = Duration.ofSeconds(5).toNanos();
  private static final int MINIMUM_SAMPLES = 50;

  /** Quantiles are cached for this many samples, since computing one scans the whole histogram. */
  private static final int QUANTILE_CACHE_SAMPLES = 64;

  private LatencyWindow current = new LatencyWindow(MINIMUM_SAMPLES);
  private LatencyWindow previous = new LatencyWindow(MINIMUM_SAMPLES);
  private long windowStartNanos;
  private final Map<Double, Long> cachedQuantiles = new HashMap<>();
  private int samplesSinceCached;

  /** Records the latency of an attempt that was answered. */
  public void record(long latencyNanos, long nowNanos) {
    rotateIfDue(nowNanos);
    current.record(latencyNanos);
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
    Long cached = cachedQuantiles.get(quantile);
    if (cached != null) {
      return cached;
    }
    LatencyWindow source = current.hasEnoughSamples() ? current : previous;
    Optional<Long> computed = source.quantileNanos(quantile);
    computed.ifPresent(nanos -> cachedQuantiles.put(quantile, nanos));
    return computed.orElse(fallbackNanos);
  }

  private void clearCachedQuantiles() {
    cachedQuantiles.clear();
    samplesSinceCached = 0;
  }

  private void rotateIfDue(long nowNanos) {
    if (nowNanos - windowStartNanos < WINDOW_NANOS) {
      return;
    }
    previous = current;
    current = new LatencyWindow(MINIMUM_SAMPLES);
    windowStartNanos = nowNanos;
    clearCachedQuantiles();
  }
}

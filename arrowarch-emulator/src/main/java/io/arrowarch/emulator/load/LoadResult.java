package io.arrowarch.emulator.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What a load saw. Latencies count from the moment at which a request was due to start, so that a
 * stall of the tool or the system shows in every request that it delays.
 */
public final class LoadResult {
  private static final long MAXIMUM_MICROS = 120_000_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final String ANSWERED = "answered";

  private final Histogram micros = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private long partial;
  private double coverageSum;
  private double lowestCoverage = 1;

  void onAnswer(long latencyNanos, double coverage) {
    micros.recordValue(Math.min(MAXIMUM_MICROS, latencyNanos / 1_000));
    outcomes.merge(ANSWERED, 1, Integer::sum);
    coverageSum += coverage;
    lowestCoverage = Math.min(lowestCoverage, coverage);
    if (coverage < 1) {
      partial++;
    }
  }

  void onError(String kind) {
    outcomes.merge(kind, 1, Integer::sum);
  }

  /** Requests by outcome: {@code answered}, an error kind, or how the connection failed. */
  public Map<String, Integer> outcomes() {
    return outcomes;
  }

  /** Requests that were answered. */
  public int answered() {
    return outcomes.getOrDefault(ANSWERED, 0);
  }

  /** A latency quantile of the answered requests, in milliseconds. */
  public double millis(double quantile) {
    return micros.getValueAtPercentile(quantile * 100) / 1_000.0;
  }

  /** Mean coverage of the answered requests. */
  public double meanCoverage() {
    return answered() == 0 ? 0 : coverageSum / answered();
  }

  /** One line for people. */
  @Override
  public String toString() {
    return String.format(
        "outcomes %s, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, max %.1f ms, mean coverage %.5f, "
            + "partial answers %d, lowest coverage %.3f",
        outcomes,
        millis(0.5),
        millis(0.99),
        millis(0.999),
        micros.getMaxValue() / 1_000.0,
        meanCoverage(),
        partial,
        lowestCoverage);
  }
}

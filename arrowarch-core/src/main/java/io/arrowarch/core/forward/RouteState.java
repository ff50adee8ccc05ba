package io.arrowarch.core.forward;

import io.arrowarch.core.hedge.LatencyTracker;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import java.time.Duration;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/** What a router keeps of one route over its requests and versions. */
final class RouteState {
  private static final double TYPICAL = 0.5;

  /** Slower answers than this part of all get a second attempt. */
  private static final double HEDGE_QUANTILE = 0.9;

  /** With many slow servers the quantile is theirs; no delay is longer than this many medians. */
  private static final double HEDGE_MEDIANS = 2;

  private static final long MINIMUM_HEDGE_NANOS = 4_000_000;

  /** Until latencies are known, an answer is expected after this part of the objective. */
  private static final int EXPECTED_PARTS = 6;

  private static final int HEDGE_PARTS = 3;
  private static final long LONGEST_TIME_LEFT_MILLIS = 600_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MEDIAN_PERCENTILE = 50;

  /** Less than this part of the usual time left is put down to the way. */
  private static final double WAY_FRACTION = 0.02;

  /** With fewer requests nothing is known of the time that a first try has. */
  private static final int MINIMUM_TIMES_LEFT = 3;

  private final LatencyTracker latencies = new LatencyTracker();
  private final Histogram timesLeftMillis =
      new Histogram(LONGEST_TIME_LEFT_MILLIS, SIGNIFICANT_DIGITS);
  private final RandomGenerator random;
  private WeightedRotation rotation;

  RouteState(RandomGenerator random) {
    this.random = random;
  }

  LatencyTracker latencies() {
    return latencies;
  }

  /** The usual length of an attempt. */
  long expectedNanos(Route route) {
    return latencies.quantileNanos(TYPICAL, route.objective().toNanos() / EXPECTED_PARTS);
  }

  /** How long an attempt may be open before a second one starts. */
  long hedgeDelayNanos(Route route) {
    long fallback = route.objective().toNanos() / HEDGE_PARTS;
    long slow = latencies.quantileNanos(HEDGE_QUANTILE, fallback);
    long bound = (long) (HEDGE_MEDIANS * latencies.quantileNanos(TYPICAL, fallback));
    return Math.max(MINIMUM_HEDGE_NANOS, Math.min(slow, bound));
  }

  /** The service that the next request of a weighted route goes to. */
  String nextService(RouteTarget.OneServer target) {
    if (rotation == null || !rotation.services().equals(target.services())) {
      rotation = new WeightedRotation(target.services(), random);
    }
    return rotation.next();
  }

  /**
   * How long ago the caller first asked. Most requests of a route are first tries with the same
   * time left; one that has less left has been tried before.
   */
  Duration spentBefore(Duration timeLeft) {
    long millis = Math.min(LONGEST_TIME_LEFT_MILLIS, Math.max(1, timeLeft.toMillis()));
    timesLeftMillis.recordValue(millis);
    long usual = timesLeftMillis.getValueAtPercentile(MEDIAN_PERCENTILE);
    long spent = usual - millis;
    return spent > WAY_FRACTION * usual ? Duration.ofMillis(spent) : Duration.ZERO;
  }

  /** Whether the caller has as much time left as any; false while too little is known. */
  boolean isFirstTry(Duration timeLeft) {
    return timesLeftMillis.getTotalCount() >= MINIMUM_TIMES_LEFT
        && timeLeft.toMillis() >= (1 - WAY_FRACTION) * timesLeftMillis.getMaxValue();
  }
}

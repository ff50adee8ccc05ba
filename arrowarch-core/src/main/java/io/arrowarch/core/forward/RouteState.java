package io.arrowarch.core.forward;

import io.arrowarch.core.hedge.LatencyTracker;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * State of one route that a router keeps across requests and configuration versions, as long as the
 * configuration has the route. A route that is rarely used costs about a kilobyte.
 */
final class RouteState {
  /** The median for {@link LatencyTracker}, which takes quantiles from 0 to 1. */
  private static final double MEDIAN_QUANTILE = 0.5;

  /** Quantile of latencies that is the hedge delay, within the bounds below. */
  private static final double HEDGE_QUANTILE = 0.9;

  /**
   * The hedge delay is at most this many median latencies, but never below {@link
   * #MINIMUM_HEDGE_NANOS}. If many servers are slow, the quantile is a latency of the slow ones,
   * and without this bound hedges would be sent too late.
   */
  private static final double MAXIMUM_HEDGE_MEDIANS = 2;

  private static final long MINIMUM_HEDGE_NANOS = 4_000_000;

  /** Until latencies are known, an attempt is expected to take the objective divided by this. */
  private static final int EXPECTED_DIVISOR = 6;

  /** Until latencies are known, the hedge delay is the objective divided by this. */
  private static final int HEDGE_DIVISOR = 3;

  private static final long MAXIMUM_TIME_LEFT_MILLIS = 600_000;

  /**
   * If a caller's time left differs from that of a first try by less than this fraction, the
   * difference is attributed to network delay, not to earlier tries.
   */
  private static final double NETWORK_DELAY_FRACTION = 0.02;

  /** Number of requests of the route that are needed to tell first tries from retries. */
  private static final int MINIMUM_SAMPLES = 3;

  private final LatencyTracker latencies = new LatencyTracker();
  private final TimesLeft timesLeft;
  private final RandomGenerator random;
  private WeightedRotation rotation;

  RouteState(RandomGenerator random) {
    this.timesLeft = new TimesLeft(random);
    this.random = random;
  }

  LatencyTracker latencies() {
    return latencies;
  }

  /** Median duration of an attempt, or a fraction of the objective until latencies are known. */
  long expectedNanos(Route route) {
    return latencies.quantileNanos(MEDIAN_QUANTILE, route.objective().toNanos() / EXPECTED_DIVISOR);
  }

  /** How long an attempt may be open before a hedge is sent. */
  long hedgeDelayNanos(Route route) {
    long fallback = route.objective().toNanos() / HEDGE_DIVISOR;
    long slow = latencies.quantileNanos(HEDGE_QUANTILE, fallback);
    long bound =
        (long) (MAXIMUM_HEDGE_MEDIANS * latencies.quantileNanos(MEDIAN_QUANTILE, fallback));
    return Math.max(MINIMUM_HEDGE_NANOS, Math.min(slow, bound));
  }

  /** Picks the service for the next request of a weighted route. */
  String nextService(RouteTarget.OneServer target) {
    if (rotation == null || !rotation.services().equals(target.services())) {
      rotation = new WeightedRotation(target.services(), random);
    }
    return rotation.next();
  }

  /**
   * Estimates how long ago the caller sent its first try, and records the time left. Most requests
   * of a route are first tries with the same time left, so the median is that of a first try, and a
   * request with less has been tried before.
   */
  Duration spentBefore(Duration callerWait) {
    long millis = Math.min(MAXIMUM_TIME_LEFT_MILLIS, Math.max(1, callerWait.toMillis()));
    timesLeft.record((int) millis);
    long usual = timesLeft.median();
    long spent = usual - millis;
    return spent > NETWORK_DELAY_FRACTION * usual ? Duration.ofMillis(spent) : Duration.ZERO;
  }

  /**
   * Whether the request is probably a first try: its caller has about as much time left as the most
   * that any caller of the route has had. False while there are too few requests to tell.
   */
  boolean isFirstTry(Duration callerWait) {
    return timesLeft.count() >= MINIMUM_SAMPLES
        && callerWait.toMillis() >= (1 - NETWORK_DELAY_FRACTION) * timesLeft.maximum();
  }
}

package io.arrowarch.emulator.backend;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How long a back end takes for one request: a log-normal time around a median, with a fraction of
 * requests slower by a factor.
 *
 * @param median half of the requests take less
 * @param sigma standard deviation of the logarithm; 0 makes every time the median
 * @param slowFraction fraction of requests that are slow; from 0 to 1
 * @param slowFactor how many times longer a slow request takes
 */
public record ServiceTimes(Duration median, double sigma, double slowFraction, double slowFactor) {

  /** Times around a median with the spread of a lightly loaded index server. */
  public static ServiceTimes around(Duration median) {
    return new ServiceTimes(median, 0.3, 0, 1);
  }

  /** The same times with slow requests. */
  public ServiceTimes withSlow(double fraction, double factor) {
    return new ServiceTimes(median, sigma, fraction, factor);
  }

  /** A time in nanoseconds. */
  public long nextNanos(RandomGenerator random) {
    double nanos = median.toNanos() * Math.exp(sigma * random.nextGaussian());
    boolean slow = slowFraction > 0 && random.nextDouble() < slowFraction;
    return (long) (slow ? nanos * slowFactor : nanos);
  }
}

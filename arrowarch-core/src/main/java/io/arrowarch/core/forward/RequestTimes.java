package io.arrowarch.core.forward;

import io.arrowarch.core.route.Route;
import java.time.Duration;

/**
 * The moments of one request, on the router's monotonic clock.
 *
 * @param objectiveNanos when an answer must leave to be in time for its full worth
 * @param giveUpNanos when the caller gets its final answer in any case
 * @param attemptDeadlineNanos when servers should stop
 * @param retryAfter when the caller should come back if it is refused
 */
record RequestTimes(
    long arrivalNanos,
    long objectiveNanos,
    long giveUpNanos,
    long attemptDeadlineNanos,
    Duration retryAfter) {
  /**
   * What the way from and to the caller and this router's own delays may take: 3 ms each way
   * (spolkuch's sheet), 1 ms of a timer, 1 ms to write the answer.
   */
  private static final Duration WAY = Duration.ofMillis(8);

  private static final double WAY_FRACTION = 0.05;

  /** The answer must reach the caller before it stops waiting. */
  private static final Duration BEFORE_DEADLINE = Duration.ofMillis(15);

  /** Servers work on for so many objectives at least, in case the answer has to be late. */
  private static final int OBJECTIVES_FOR_ATTEMPT = 2;

  /**
   * The part of the caller's time for which servers work on. A search that lacks a few parts of its
   * least coverage at two objectives would fail although its caller waits for many more.
   */
  private static final double SEARCH_FRACTION = 0.5;

  private static final double SHORTEST_RETRY_AFTER = 0.4;

  /**
   * The moments of a request.
   *
   * @param timeLeft how long the caller will wait, from the arrival
   * @param spent how long before the arrival the caller first asked
   * @param search whether parts that come much later are of no use
   * @param random from 0 to 1; spreads callers that are refused together
   */
  static RequestTimes of(
      Route route,
      long arrivalNanos,
      Duration timeLeft,
      Duration spent,
      boolean search,
      double random) {
    Duration objective = route.objective();
    long way = WAY.toNanos() + (long) (WAY_FRACTION * objective.toNanos());
    long objectiveNanos = arrivalNanos + objective.minus(spent).toNanos() - way;
    Duration patience = timeLeft.minus(BEFORE_DEADLINE);
    Duration held = patience.compareTo(route.timeout()) < 0 ? patience : route.timeout();
    long giveUpNanos = arrivalNanos + Math.max(1, held.toNanos());
    long useful = usefulNanos(OBJECTIVES_FOR_ATTEMPT, objective, held);
    long attemptDeadline = search ? Math.min(giveUpNanos, arrivalNanos + useful) : giveUpNanos;
    Duration retryAfter = retryAfter(objective, random);
    return new RequestTimes(arrivalNanos, objectiveNanos, giveUpNanos, attemptDeadline, retryAfter);
  }

  /** The moments of a search that another router took from its caller. */
  static RequestTimes ofDelegated(
      Route route, long arrivalNanos, DelegatedSearch search, double random) {
    long giveUpNanos = arrivalNanos + Math.max(1, search.timeLeft().toNanos());
    long objectiveNanos = arrivalNanos + search.objectiveLeft().toNanos();
    long useful = usefulNanos(OBJECTIVES_FOR_ATTEMPT - 1, route.objective(), search.timeLeft());
    long attemptDeadline = Math.min(giveUpNanos, Math.max(arrivalNanos, objectiveNanos) + useful);
    return new RequestTimes(
        arrivalNanos,
        objectiveNanos,
        giveUpNanos,
        attemptDeadline,
        retryAfter(route.objective(), random));
  }

  private static long usefulNanos(int objectives, Duration objective, Duration held) {
    return Math.max(objectives * objective.toNanos(), (long) (SEARCH_FRACTION * held.toNanos()));
  }

  private static Duration retryAfter(Duration objective, double random) {
    double fraction = SHORTEST_RETRY_AFTER + (1 - SHORTEST_RETRY_AFTER) * random;
    return Duration.ofMillis((long) (fraction * objective.toMillis()));
  }
}

package io.arrowarch.core.forward;

import io.arrowarch.core.route.Route;
import java.time.Duration;

/**
 * The points in time of one request, on the router's monotonic clock. A request may have waited
 * unread before it was received. Deadlines allow for the longest time that is possible, since they
 * are promises; the objective allows for half of that, which is what it has waited on average.
 *
 * @param arrivalNanos when it was received
 * @param objectiveNanos when an answer must be sent to reach the caller with its full value
 * @param responseDeadlineNanos latest time at which the caller gets its final answer
 * @param attemptDeadlineNanos when servers should stop
 * @param retryAfter how long a refused caller should wait before it retries
 */
record RequestTimes(
    long arrivalNanos,
    long objectiveNanos,
    long responseDeadlineNanos,
    long attemptDeadlineNanos,
    Duration retryAfter) {
  /**
   * Time reserved for the network and this router's own delays. At the sites with the most distant
   * callers the network takes 3 ms each way; timer delay and writing the answer take 1 ms each.
   */
  private static final Duration DELIVERY_RESERVE = Duration.ofMillis(8);

  /** Reserved in addition, as a fraction of the objective. */
  private static final double DELIVERY_RESERVE_FRACTION = 0.05;

  /** Time reserved so that the final answer reaches the caller before it stops waiting. */
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(15);

  /**
   * The attempt timeout of a search is at least this many objectives, unless its caller stops
   * waiting earlier: an answer may be late and still count.
   */
  private static final int MINIMUM_ATTEMPT_OBJECTIVES = 2;

  /**
   * Fraction of the caller's waiting time for which servers of a search may work. A search that
   * lacks a few parts of its minimum coverage after two objectives would otherwise fail although
   * its caller waits much longer.
   */
  private static final double SEARCH_ATTEMPT_FRACTION = 0.5;

  /** Shortest retry delay, as a fraction of the objective. */
  private static final double MINIMUM_RETRY_AFTER_FRACTION = 0.4;

  /**
   * Computes the times of a request.
   *
   * @param unread upper bound of the time for which the request waited before the arrival
   * @param timeLeft how long the caller waits from when it sent the request
   * @param spent time to deduct from the objective: the time since the caller's first try, the
   *     round trip of a new connection, and the reserve for delays of this router
   * @param search whether the request is a search, whose parts are of no use much later than its
   *     objective
   * @param random from 0 to 1; spreads the retries of callers that are refused together
   */
  static RequestTimes of(
      Route route,
      long arrivalNanos,
      Duration unread,
      Duration timeLeft,
      Duration spent,
      boolean search,
      double random) {
    Duration objective = route.objective();
    long deliveryReserveNanos =
        DELIVERY_RESERVE.toNanos() + (long) (DELIVERY_RESERVE_FRACTION * objective.toNanos());
    long earliestNanos = arrivalNanos - unread.toNanos();
    long objectiveNanos =
        averageNanos(arrivalNanos, unread)
            + objective.minus(spent).toNanos()
            - deliveryReserveNanos;
    Duration callerWait = timeLeft.minus(DEADLINE_MARGIN);
    Duration maximumWait = callerWait.compareTo(route.timeout()) < 0 ? callerWait : route.timeout();
    long responseDeadlineNanos = earliestNanos + Math.max(1, maximumWait.toNanos());
    long attemptNanos = attemptNanos(MINIMUM_ATTEMPT_OBJECTIVES, objective, maximumWait);
    long attemptDeadline =
        search
            ? Math.min(responseDeadlineNanos, earliestNanos + attemptNanos)
            : responseDeadlineNanos;
    Duration retryAfter = retryAfter(objective, random);
    return new RequestTimes(
        arrivalNanos, objectiveNanos, responseDeadlineNanos, attemptDeadline, retryAfter);
  }

  /** Computes the times of a search that another router has delegated to this one. */
  static RequestTimes ofDelegated(
      Route route, long arrivalNanos, DelegatedSearch search, double random) {
    Duration unread = search.request().unread();
    long earliestNanos = arrivalNanos - unread.toNanos();
    long responseDeadlineNanos = earliestNanos + Math.max(1, search.timeLeft().toNanos());
    long objectiveNanos = averageNanos(arrivalNanos, unread) + search.objectiveLeft().toNanos();
    long attemptNanos =
        attemptNanos(MINIMUM_ATTEMPT_OBJECTIVES - 1, route.objective(), search.timeLeft());
    long attemptDeadline =
        Math.min(responseDeadlineNanos, Math.max(arrivalNanos, objectiveNanos) + attemptNanos);
    return new RequestTimes(
        arrivalNanos,
        objectiveNanos,
        responseDeadlineNanos,
        attemptDeadline,
        retryAfter(route.objective(), random));
  }

  /** When the request arrived if it has waited for half of the longest time that is possible. */
  private static long averageNanos(long arrivalNanos, Duration unread) {
    return arrivalNanos - unread.toNanos() / 2;
  }

  private static long attemptNanos(int objectives, Duration objective, Duration maximumWait) {
    return Math.max(
        objectives * objective.toNanos(), (long) (SEARCH_ATTEMPT_FRACTION * maximumWait.toNanos()));
  }

  private static Duration retryAfter(Duration objective, double random) {
    double fraction = MINIMUM_RETRY_AFTER_FRACTION + (1 - MINIMUM_RETRY_AFTER_FRACTION) * random;
    return Duration.ofMillis((long) (fraction * objective.toMillis()));
  }
}

package io.arrowarch.core.forward;

import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.forward.PartProgress.OpenAttempt;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.time.RouterClock;

/** Logs the events of one request. */
final class RequestLog {
  private static final double NANOS_PER_MILLI = 1e6;

  /** Value of viewAgeMs for a request that was not refused before it started. */
  private static final double NOT_REFUSED = -1;

  private final ForwardedRequest request;
  private final Route route;
  private final long version;
  private final RequestTimes times;
  private final RequestMonitor monitor;
  private final RouterClock clock;
  private final EventLog events;

  /**
   * Creates the log of a request.
   *
   * @param version version of the configuration that contains the route
   */
  RequestLog(
      ForwardedRequest request,
      Route route,
      long version,
      RequestTimes times,
      RequestMonitor monitor,
      RouterClock clock,
      EventLog events) {
    this.request = request;
    this.route = route;
    this.version = version;
    this.times = times;
    this.monitor = monitor;
    this.clock = clock;
    this.events = events;
  }

  /**
   * Logs an attempt that returned no usable answer.
   *
   * @param outcome how the attempt ended
   * @param status the HTTP status of the reply; 0 without one
   * @param next what is done next for the part
   */
  void attemptFailed(
      PartProgress part, OpenAttempt attempt, String outcome, int status, String next) {
    events.log(
        new RouterEvent.AttemptFailed(
            request.id(),
            attempt.attempt().number(),
            part.service(),
            attempt.attempt().server().id(),
            outcome,
            status,
            (clock.nanoTime() - attempt.startNanos()) / NANOS_PER_MILLI,
            next));
  }

  /**
   * Logs that the final answer is sent, or that the caller has disconnected.
   *
   * @param error name of the error kind; empty without one
   * @param reason why the request ended
   */
  void ended(String outcome, String error, String reason, PartTally tally) {
    long nowNanos = clock.nanoTime();
    int asked = tally.parts().size();
    int sent = tally.sent();
    events.log(
        new RouterEvent.RequestEnded(
            request.id(),
            error.isEmpty() ? "" : monitor.key().logName(),
            route.name(),
            version,
            outcome,
            error,
            reason,
            tally.answered(),
            asked,
            sent,
            Math.max(0, sent - asked),
            elapsedMillis(nowNanos),
            leftMillis(nowNanos),
            NOT_REFUSED,
            request.unread().toNanos() / NANOS_PER_MILLI,
            tally.describeMissing(nowNanos)));
  }

  double elapsedMillis(long nowNanos) {
    return (nowNanos - times.arrivalNanos()) / NANOS_PER_MILLI;
  }

  double leftMillis(long nowNanos) {
    return (times.responseDeadlineNanos() - nowNanos) / NANOS_PER_MILLI;
  }
}

package io.arrowarch.core.forward;

import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.forward.PartProgress.OpenAttempt;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.time.RouterClock;

/** Writes the events of one request. */
final class RequestLog {
  private static final double NANOS_PER_MILLI = 1e6;

  /** No age of a view: the request was not refused by it. */
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
   * @param version of the configuration that the route is from
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
   * An attempt gave no usable answer.
   *
   * @param next what follows
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
   * The final answer leaves, or the caller has left.
   *
   * @param error name of the error kind; empty for a success
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
            tally.in(),
            asked,
            sent,
            Math.max(0, sent - asked),
            elapsedMillis(nowNanos),
            leftMillis(nowNanos),
            NOT_REFUSED,
            tally.describeMissing(nowNanos)));
  }

  double elapsedMillis(long nowNanos) {
    return (nowNanos - times.arrivalNanos()) / NANOS_PER_MILLI;
  }

  double leftMillis(long nowNanos) {
    return (times.giveUpNanos() - nowNanos) / NANOS_PER_MILLI;
  }
}

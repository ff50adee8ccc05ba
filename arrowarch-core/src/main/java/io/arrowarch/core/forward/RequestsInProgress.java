package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The requests that have no final answer yet. When the process is about to end, those that have not
 * run are refused, so that their callers can use another router, and the rest is answered before
 * the connections are closed.
 */
final class RequestsInProgress {
  static final String STOP_REASON = "the router is shutting down";

  /** Other routers can serve the caller at once. */
  static final Duration RETRY_AFTER_STOP = Duration.ofMillis(50);

  private final Set<ForwardExecution> requests = new LinkedHashSet<>();
  private long endNanos;
  private boolean ending;

  int count() {
    return requests.size();
  }

  void add(ForwardExecution request) {
    requests.add(request);
  }

  void remove(ForwardExecution request) {
    requests.remove(request);
  }

  /**
   * Whether a request may be sent to its first server: the process does not end before the latest
   * time at which the caller gets its final answer.
   *
   * @param responseDeadlineNanos that time, on the router's monotonic clock
   */
  boolean mayStart(long responseDeadlineNanos) {
    return !ending || responseDeadlineNanos < endNanos;
  }

  /**
   * Refuses, now and from now on, requests that no server can have run and that may last beyond the
   * end of the process.
   *
   * @param processEndNanos when the process ends, on the router's monotonic clock
   */
  void startNoneBeyond(long processEndNanos) {
    ending = true;
    endNanos = processEndNanos;
    for (ForwardExecution request : ImmutableList.copyOf(requests)) {
      if (!mayStart(request.responseDeadlineNanos())) {
        request.refuseIfNotRun();
      }
    }
  }

  /** Gives each request its final answer, and starts none from now on. */
  void endAll(long nowNanos) {
    // Ending a request frees its connections, which must not start one that still waits.
    startNoneBeyond(nowNanos);
    for (ForwardExecution request : ImmutableList.copyOf(requests)) {
      request.endEarly();
    }
  }
}

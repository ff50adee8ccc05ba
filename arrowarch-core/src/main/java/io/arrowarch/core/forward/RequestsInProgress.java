package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The requests that have no final answer yet. When the process is about to end, those that have not
 * run are refused, so that their callers can use another router, and the rest is answered before
 * the connections are closed.
 */
final class RequestsInProgress {
  private static final String REASON = "the router is shutting down";

  private final Set<ForwardExecution> requests = new LinkedHashSet<>();

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
   * Refuses the requests that no server can have run and that may last beyond a time.
   *
   * @param endNanos when the process ends, on the router's monotonic clock
   */
  void refuseNotRun(long endNanos) {
    for (ForwardExecution request : ImmutableList.copyOf(requests)) {
      if (request.responseDeadlineNanos() > endNanos) {
        request.refuseIfNotRun(REASON);
      }
    }
  }

  /** Gives each request its final answer. */
  void endAll() {
    // Ending a request frees its connections, which must not start one that still waits.
    refuseNotRun(Long.MIN_VALUE);
    for (ForwardExecution request : ImmutableList.copyOf(requests)) {
      request.endEarly(REASON);
    }
  }
}

package io.arrowarch.core.server;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The attempts of this router that a server has not answered, oldest first. An attempt whose
 * request is over stays here until the attempt ends, because its age shows whether the server is
 * stalled.
 */
final class OpenAttempts {
  /**
   * A server is stalled if its oldest attempt has been open for more than this many times the
   * expected length, and for more than {@link #MINIMUM_STALL_NANOS}.
   */
  private static final double STALL_FACTOR = 3.0;

  /** A younger attempt does not show a stall: the event loop of either side may be late. */
  private static final long MINIMUM_STALL_NANOS = 30_000_000;

  private final Map<Long, Open> open = new LinkedHashMap<>();

  private record Open(long startNanos, long expectedNanos) {}

  void add(long attempt, long startNanos, long expectedNanos) {
    open.put(attempt, new Open(startNanos, expectedNanos));
  }

  void remove(long attempt) {
    open.remove(attempt);
  }

  int size() {
    return open.size();
  }

  /** By how much the age of the oldest attempt exceeds the stall limit; 0 if it does not. */
  long stalledNanos(long nowNanos) {
    if (open.isEmpty()) {
      return 0;
    }
    Open oldest = open.values().iterator().next();
    long bound = Math.max(MINIMUM_STALL_NANOS, (long) (STALL_FACTOR * oldest.expectedNanos()));
    return Math.max(0, nowNanos - oldest.startNanos() - bound);
  }
}

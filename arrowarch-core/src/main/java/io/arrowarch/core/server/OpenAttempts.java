package io.arrowarch.core.server;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The attempts of this router that a server has not answered, oldest first. An attempt that nobody
 * waits for any more stays here until it ends: its age tells whether the server stands still.
 */
final class OpenAttempts {
  /** An attempt open for this many times its expected length says that its server stands still. */
  private static final double STALL_FACTOR = 3.0;

  /** Shorter ages say nothing: the event loop of either side may be late. */
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

  /** By how much the oldest attempt is older than any sound server would let it grow; 0 if not. */
  long stalledNanos(long nowNanos) {
    if (open.isEmpty()) {
      return 0;
    }
    Open oldest = open.values().iterator().next();
    long bound = Math.max(MINIMUM_STALL_NANOS, (long) (STALL_FACTOR * oldest.expectedNanos()));
    return Math.max(0, nowNanos - oldest.startNanos() - bound);
  }
}

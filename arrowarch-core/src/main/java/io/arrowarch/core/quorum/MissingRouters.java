package io.arrowarch.core.quorum;

import io.arrowarch.core.wire.MachineList;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks how long voters have been missing from the platform's list of machines. Without a list
 * that is at most {@link #FRESHNESS} old, no voter counts as missing, and the times start anew.
 */
final class MissingRouters {
  private static final Duration FRESHNESS = Duration.ofSeconds(5);

  private final Map<String, Long> missingSinceNanos = new HashMap<>();
  private long lastListNanos = Long.MIN_VALUE;

  void onList(MachineList list, Set<String> voters, long nowNanos) {
    Set<String> listed = new HashSet<>();
    for (MachineList.Machine machine : list.machines()) {
      if (machine.role() == MachineList.Role.ROUTER) {
        listed.add(machine.id());
      }
    }
    boolean wasFresh = isFresh(nowNanos);
    if (!wasFresh) {
      missingSinceNanos.clear();
    }
    missingSinceNanos.keySet().removeAll(listed);
    for (String voter : voters) {
      if (!listed.contains(voter)) {
        missingSinceNanos.putIfAbsent(voter, nowNanos);
      }
    }
    lastListNanos = nowNanos;
  }

  /** Whether the list is fresh and has been without the router for at least this long. */
  boolean isMissingFor(String router, Duration length, long nowNanos) {
    Long since = missingSinceNanos.get(router);
    return since != null && isFresh(nowNanos) && nowNanos - since >= length.toNanos();
  }

  private boolean isFresh(long nowNanos) {
    return lastListNanos != Long.MIN_VALUE && nowNanos - lastListNanos <= FRESHNESS.toNanos();
  }
}

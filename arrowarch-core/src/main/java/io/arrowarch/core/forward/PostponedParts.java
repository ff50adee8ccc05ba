package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Parts that wait until it is known whether their request crashes servers. A connection reset looks
 * like a crashed server. If it was only a reset, another part of the request is usually answered
 * shortly afterwards, and the postponed parts can be sent again. Without this wait, the parts that
 * failed first would be missing.
 */
final class PostponedParts {
  private final List<PartProgress> all;
  private final RequestMonitor monitor;
  private final List<PartProgress> postponed = new ArrayList<>();

  /**
   * Creates an empty list.
   *
   * @param all the parts of the request
   */
  PostponedParts(List<PartProgress> all, RequestMonitor monitor) {
    this.all = all;
    this.monitor = monitor;
  }

  /** Postpones a part if an answer to another part can still clear the request of suspicion. */
  boolean tryPostpone(PartProgress part) {
    boolean possible = monitor.mayBeCleared() && isAnyOpen();
    if (possible) {
      part.onWaiting();
      postponed.add(part);
    }
    return possible;
  }

  /**
   * Called after an attempt has ended: starts the postponed parts if the request may run, or gives
   * them up if no attempt is open that could clear it.
   */
  void settle(Consumer<PartProgress> start, Consumer<PartProgress> giveUp) {
    if (postponed.isEmpty()) {
      return;
    }
    boolean mayRun = monitor.mayRun();
    if (!mayRun && isAnyOpen()) {
      return;
    }
    ImmutableList<PartProgress> settled = ImmutableList.copyOf(postponed);
    postponed.clear();
    settled.stream()
        .filter(part -> !part.isSettled())
        .forEach(part -> (mayRun ? start : giveUp).accept(part));
  }

  private boolean isAnyOpen() {
    return all.stream().anyMatch(part -> !part.open().isEmpty());
  }
}

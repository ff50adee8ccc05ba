package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Parts that wait for whether their request is what ends servers. Connections that are lost by
 * reset look like servers that end; the answer of any other part tells them apart a moment later,
 * and without this wait the parts that were lost first would be missing.
 */
final class PostponedParts {
  private final List<PartProgress> all;
  private final RequestMonitor monitor;
  private final List<PartProgress> postponed = new ArrayList<>();

  /**
   * Creates a list without parts.
   *
   * @param all the parts of the request
   */
  PostponedParts(List<PartProgress> all, RequestMonitor monitor) {
    this.all = all;
    this.monitor = monitor;
  }

  /** Postpones a part if the answer of another may clear the request. */
  boolean tryPostpone(PartProgress part) {
    boolean possible = monitor.mayBeCleared() && isAnyOpen();
    if (possible) {
      part.onWaiting();
      postponed.add(part);
    }
    return possible;
  }

  /** After an attempt has ended: starts what may run now, or gives it up when nothing is open. */
  void settle(Consumer<PartProgress> start, Consumer<PartProgress> lose) {
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
        .forEach(part -> (mayRun ? start : lose).accept(part));
  }

  private boolean isAnyOpen() {
    return all.stream().anyMatch(part -> !part.open().isEmpty());
  }
}

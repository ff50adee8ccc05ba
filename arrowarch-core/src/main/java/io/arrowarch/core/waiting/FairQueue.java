package io.arrowarch.core.waiting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Work that waits, by urgency and tenant. The most urgent is next, but each fourth turn is the
 * least urgent's, so that it is not starved. Among work of one urgency the tenant is next that has
 * had the fewest turns while anything waited, and of its work the newest, which can still be in
 * time.
 *
 * <p>Load pattern: one tenant that sends seven times its usual while the process is slow; without
 * turns it would take nearly all of them, since the newest waiting work is nearly always its own.
 *
 * @param <T> the work
 */
public final class FairQueue<T> {
  private static final int TURNS_OF_LEAST_URGENT = 4;

  private final List<Waiting<T>> waiting = new ArrayList<>();
  private final Map<String, Integer> turnsByTenant = new HashMap<>();
  private int turns;

  private record Waiting<T>(T work, int priority, String tenant) {}

  /** Whether nothing waits. */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /**
   * Adds work.
   *
   * @param priority 0 is the most urgent
   * @param tenant whose work it is; empty: nobody's
   */
  public void add(T work, int priority, String tenant) {
    waiting.add(new Waiting<>(work, priority, tenant));
  }

  /** Takes out work that waits no more; returns whether it did. */
  public boolean remove(T work) {
    boolean removed = waiting.removeIf(one -> one.work().equals(work));
    forgetTurns();
    return removed;
  }

  /** Takes out what is next, if anything waits. */
  public Optional<T> poll() {
    if (waiting.isEmpty()) {
      return Optional.empty();
    }
    turns++;
    int priority = priorityOfTurn();
    Waiting<T> next = null;
    for (Waiting<T> one : waiting) {
      if (one.priority() == priority && (next == null || isBefore(one, next))) {
        next = one;
      }
    }
    waiting.remove(next);
    turnsByTenant.merge(next.tenant(), 1, Integer::sum);
    forgetTurns();
    return Optional.of(next.work());
  }

  private int priorityOfTurn() {
    boolean ofLeastUrgent = turns % TURNS_OF_LEAST_URGENT == 0;
    int chosen = waiting.get(0).priority();
    for (Waiting<T> one : waiting) {
      chosen = ofLeastUrgent ? Math.max(chosen, one.priority()) : Math.min(chosen, one.priority());
    }
    return chosen;
  }

  /** Whether one that was added later goes before another. */
  private boolean isBefore(Waiting<T> later, Waiting<T> earlier) {
    return turnsOf(later.tenant()) <= turnsOf(earlier.tenant());
  }

  private int turnsOf(String tenant) {
    return turnsByTenant.getOrDefault(tenant, 0);
  }

  /** What was shared while nothing else waited says nothing of who is next. */
  private void forgetTurns() {
    if (waiting.isEmpty()) {
      turnsByTenant.clear();
    }
  }
}

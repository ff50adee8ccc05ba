package io.arrowarch.core.waiting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A queue of work that is fair to priorities and tenants. The most urgent priority goes first, but
 * every fourth turn belongs to the least urgent one, which prevents starvation. Within a priority
 * the tenant goes first that has had the fewest turns since the queue was last empty. Of that
 * tenant's work the newest goes first, because it can still meet its deadline.
 *
 * <p>Turns per tenant guard against a tenant that sends seven times its usual load while the
 * process is slow. Without them it would get nearly all turns, because the newest work is nearly
 * always its own.
 *
 * @param <T> the type of the work
 */
public final class FairQueue<T> {
  private static final int TURNS_OF_LEAST_URGENT = 4;

  private final List<Waiting<T>> waiting = new ArrayList<>();
  private final Map<String, Integer> turnsByTenant = new HashMap<>();
  private int turns;

  private record Waiting<T>(T work, int priority, String tenant) {}

  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /**
   * Adds work.
   *
   * @param priority 0 is the most urgent
   * @param tenant the tenant that the work belongs to; empty if it belongs to none
   */
  public void add(T work, int priority, String tenant) {
    waiting.add(new Waiting<>(work, priority, tenant));
  }

  /** Removes work that no longer waits; returns whether it was in the queue. */
  public boolean remove(T work) {
    boolean removed = waiting.removeIf(one -> one.work().equals(work));
    forgetTurns();
    return removed;
  }

  /** Removes and returns the next work; empty if the queue is empty. */
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

  /** Whether work goes before other work that was added earlier. */
  private boolean isBefore(Waiting<T> later, Waiting<T> earlier) {
    return turnsOf(later.tenant()) <= turnsOf(earlier.tenant());
  }

  private int turnsOf(String tenant) {
    return turnsByTenant.getOrDefault(tenant, 0);
  }

  /** Turns from before the queue was empty don't affect the order. */
  private void forgetTurns() {
    if (waiting.isEmpty()) {
      turnsByTenant.clear();
    }
  }
}

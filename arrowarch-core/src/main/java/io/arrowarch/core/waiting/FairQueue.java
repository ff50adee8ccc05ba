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
 * tenant's work the newest goes first, because it can still be completed in time.
 *
 * <p>Turns per tenant guard against a tenant that sends seven times its usual load while the
 * process is slow. Without them it would get nearly all turns, because the newest work is nearly
 * always its own.
 *
 * @param <T> the type of the work
 */
public final class FairQueue<T> {
  private static final int LEAST_URGENT_TURN_INTERVAL = 4;

  private final List<Entry<T>> entries = new ArrayList<>();
  private final Map<String, Integer> turnsByTenant = new HashMap<>();
  private int turns;

  private record Entry<T>(T work, int priority, String tenant) {}

  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Adds work.
   *
   * @param priority 0 is the most urgent
   * @param tenant the tenant that the work belongs to; empty if it belongs to none
   */
  public void add(T work, int priority, String tenant) {
    entries.add(new Entry<>(work, priority, tenant));
  }

  /** Removes work that no longer waits; returns whether it was in the queue. */
  public boolean remove(T work) {
    boolean removed = entries.removeIf(entry -> entry.work().equals(work));
    resetTenantTurnsWhenEmpty();
    return removed;
  }

  /** Removes and returns the next work; empty if the queue is empty. */
  public Optional<T> poll() {
    if (entries.isEmpty()) {
      return Optional.empty();
    }
    turns++;
    int priority = nextPriority();
    Entry<T> next = null;
    for (Entry<T> entry : entries) {
      if (entry.priority() == priority && (next == null || isBefore(entry, next))) {
        next = entry;
      }
    }
    entries.remove(next);
    turnsByTenant.merge(next.tenant(), 1, Integer::sum);
    resetTenantTurnsWhenEmpty();
    return Optional.of(next.work());
  }

  private int nextPriority() {
    boolean leastUrgentTurn = turns % LEAST_URGENT_TURN_INTERVAL == 0;
    int chosen = entries.get(0).priority();
    for (Entry<T> entry : entries) {
      chosen =
          leastUrgentTurn ? Math.max(chosen, entry.priority()) : Math.min(chosen, entry.priority());
    }
    return chosen;
  }

  /** Whether work goes before other work that was added earlier. */
  private boolean isBefore(Entry<T> later, Entry<T> earlier) {
    return turnsOf(later.tenant()) <= turnsOf(earlier.tenant());
  }

  private int turnsOf(String tenant) {
    return turnsByTenant.getOrDefault(tenant, 0);
  }

  /** Turns from before the queue was empty don't affect the order. */
  private void resetTenantTurnsWhenEmpty() {
    if (entries.isEmpty()) {
      turnsByTenant.clear();
    }
  }
}

package io.arrowarch.core.intake;

import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BooleanSupplier;

/**
 * Work that a router begins: starts of requests, and attempts. It runs in the order in which it is
 * added, in slices of bounded time, and what has arrived is handled before each slice. However late
 * the router is, a request whose caller has left is thus cancelled before it is sent on.
 *
 * <p>Not thread-safe.
 */
public final class NewWork {
  /** Within it a warm router sends the parts of a wide search, and a cold one only a few. */
  private static final long SLICE_NANOS = Duration.ofMillis(5).toNanos();

  private final RouterClock clock;
  private final ArrivalPoll arrivals;

  /** Work of the next slice. */
  private final Queue<Item> ready = new ArrayDeque<>();

  /**
   * Work that was added after the next slice was scheduled. It waits for the slice after that one,
   * since the next may run before a close that arrived behind the work is read.
   */
  private final Queue<Item> added = new ArrayDeque<>();

  private boolean scheduled;

  /** Work of one or more steps. */
  public interface Item {
    /** Runs the next step. */
    void runNext();

    /** Whether no step is left, or the others are no longer needed. */
    boolean isDone();
  }

  /** Creates a queue without work. */
  public NewWork(RouterClock clock, ArrivalPoll arrivals) {
    this.clock = clock;
    this.arrivals = arrivals;
  }

  /** Adds work, which begins when all that has arrived by now has been handled. */
  public void add(Item item) {
    if (scheduled) {
      added.add(item);
    } else {
      ready.add(item);
      schedule();
    }
  }

  /**
   * Adds a single step.
   *
   * @param needless whether the step is not to be run when its turn comes
   */
  public void add(Runnable step, BooleanSupplier needless) {
    add(new SingleStep(step, needless));
  }

  private void schedule() {
    scheduled = !ready.isEmpty();
    if (scheduled) {
      arrivals.afterArrivals(this::runSlice);
    }
  }

  private void runSlice() {
    long endNanos = clock.nanoTime() + SLICE_NANOS;
    try {
      while (hasNext() && clock.nanoTime() < endNanos) {
        ready.element().runNext();
      }
    } finally {
      ready.addAll(added);
      added.clear();
      schedule();
    }
  }

  private boolean hasNext() {
    while (!ready.isEmpty() && ready.element().isDone()) {
      ready.remove();
    }
    return !ready.isEmpty();
  }

  private static final class SingleStep implements Item {
    private final Runnable step;
    private final BooleanSupplier needless;
    private boolean run;

    SingleStep(Runnable step, BooleanSupplier needless) {
      this.step = step;
      this.needless = needless;
    }

    @Override
    public void runNext() {
      run = true;
      step.run();
    }

    @Override
    public boolean isDone() {
      return run || needless.getAsBoolean();
    }
  }
}

package io.arrowarch.core.forward;

import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Requests that came before the store was read. A process that has just started will know the
 * configuration and the servers in a moment, and a caller that was cut off by its end may not be
 * able to ask once more.
 */
final class HeldRequests {
  /** How long after the start requests are held. */
  private static final Duration LONGEST_HOLD = Duration.ofMillis(1_500);

  private static final double HOLD_FRACTION = 0.3;

  private final RouterClock clock;
  private final TimerQueue timers;
  private final int maximum;
  private final long endNanos;
  private final Consumer<HeldRequest> refusal;
  private final Deque<HeldRequest> held = new ArrayDeque<>();
  private boolean holds = true;

  /**
   * Creates an empty queue.
   *
   * @param maximum requests that are held at most
   * @param refusal refuses a request that has waited for too long
   */
  HeldRequests(RouterClock clock, TimerQueue timers, int maximum, Consumer<HeldRequest> refusal) {
    this.clock = clock;
    this.timers = timers;
    this.maximum = maximum;
    this.endNanos = clock.nanoTime() + LONGEST_HOLD.toNanos();
    this.refusal = refusal;
  }

  /** Whether a request that comes now is held. */
  boolean mayHold() {
    return holds && held.size() < maximum && clock.nanoTime() < endNanos;
  }

  /**
   * Holds a request.
   *
   * @param timeLeft how long its caller will wait
   */
  ForwardHandle hold(
      ForwardedRequest request,
      Duration timeLeft,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    long nowNanos = clock.nanoTime();
    long longestNanos = nowNanos + (long) (HOLD_FRACTION * timeLeft.toNanos());
    HeldRequest waiting = new HeldRequest(request, nowNanos, sink);
    held.addLast(waiting);
    timers.schedule(Math.min(endNanos, longestNanos), () -> refuse(waiting));
    return () -> {
      held.remove(waiting);
      waiting.cancel();
    };
  }

  /** The store is read: what is held is submitted, the newest first. */
  void submitTo(ForwardCoordinator coordinator) {
    holds = false;
    while (!held.isEmpty()) {
      held.removeLast().submitTo(coordinator, clock.nanoTime());
    }
  }

  /** Nobody knows when the store will be read: nothing is held any more. */
  void refuseAll() {
    holds = false;
    while (!held.isEmpty()) {
      refuse(held.peekLast());
    }
  }

  private void refuse(HeldRequest waiting) {
    if (held.remove(waiting)) {
      refusal.accept(waiting);
    }
  }
}

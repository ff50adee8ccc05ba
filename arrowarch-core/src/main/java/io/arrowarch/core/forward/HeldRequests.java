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
 * Requests that arrived before the store was read. A process that has just started will soon know
 * the configuration and the servers. A caller whose connection broke when the previous incarnation
 * ended may not be able to retry again, so its request is held rather than refused.
 */
final class HeldRequests {
  /** How long after the start of the process requests are held. */
  private static final Duration HOLD_PERIOD = Duration.ofMillis(1_500);

  private static final double MAXIMUM_HOLD_FRACTION = 0.3;

  private final RouterClock clock;
  private final TimerQueue timers;
  private final int maximum;
  private final long endNanos;
  private final Consumer<HeldRequest> refusal;
  private final Deque<HeldRequest> held = new ArrayDeque<>();
  private boolean holding = true;

  /**
   * Creates an empty queue.
   *
   * @param maximum maximum number of requests held at the same time
   * @param refusal refuses a request that has waited too long, or that can no longer be held
   */
  HeldRequests(RouterClock clock, TimerQueue timers, int maximum, Consumer<HeldRequest> refusal) {
    this.clock = clock;
    this.timers = timers;
    this.maximum = maximum;
    this.endNanos = clock.nanoTime() + HOLD_PERIOD.toNanos();
    this.refusal = refusal;
  }

  /** Whether a request that arrives now is held. */
  boolean mayHold() {
    return holding && held.size() < maximum && clock.nanoTime() < endNanos;
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
    long expiryNanos = nowNanos + (long) (MAXIMUM_HOLD_FRACTION * timeLeft.toNanos());
    HeldRequest waiting = new HeldRequest(request, nowNanos, sink);
    held.addLast(waiting);
    TimerQueue.Timer expiry =
        timers.schedule(Math.min(endNanos, expiryNanos), () -> refuse(waiting));
    return () -> {
      expiry.cancel();
      held.remove(waiting);
      waiting.cancel();
    };
  }

  /** Called when the store has been read: submits all held requests, the newest first. */
  void submitTo(ForwardCoordinator coordinator) {
    holding = false;
    while (!held.isEmpty()) {
      held.removeLast().submitTo(coordinator, clock.nanoTime());
    }
  }

  /**
   * Refuses all held requests and holds no more, since it is not known when the store can be read.
   */
  void refuseAll() {
    holding = false;
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

package io.arrowarch.emulator.simulation;

import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * A process in virtual time: it can be killed, and it can be frozen and woken. Events that arrive
 * while it is frozen wait, and are handled when it wakes, before its overdue timers: a woken
 * process reads its sockets while it still believes old things.
 */
abstract class SimulatedProcess implements RouterClock {
  private final VirtualTime time;
  private final List<Runnable> heldEvents = new ArrayList<>();
  private boolean frozen;
  private boolean dead;
  private long armedForNanos = Long.MAX_VALUE;
  private TimerQueue.Timer wakeup;

  SimulatedProcess(VirtualTime time) {
    this.time = time;
  }

  @Override
  public final long nanoTime() {
    return time.nowNanos();
  }

  @Override
  public final Instant wallTime() {
    return time.wallTime();
  }

  abstract void runTimers();

  abstract OptionalLong nextTimerNanos();

  final boolean isDead() {
    return dead;
  }

  final boolean isFrozen() {
    return frozen;
  }

  final void kill() {
    dead = true;
    heldEvents.clear();
  }

  final void freeze() {
    frozen = true;
  }

  final void wake() {
    frozen = false;
    List<Runnable> events = new ArrayList<>(heldEvents);
    heldEvents.clear();
    events.forEach(this::handle);
    handle(() -> {});
  }

  /** Handles an event now, later when frozen, never when dead. */
  final void handle(Runnable event) {
    if (dead) {
      return;
    }
    if (frozen) {
      heldEvents.add(event);
      return;
    }
    event.run();
    runTimers();
    arm();
  }

  /** Handles an event and returns its result; only for a process that is not frozen. */
  final <T> T ask(Supplier<T> question) {
    T result = question.get();
    arm();
    return result;
  }

  private void arm() {
    OptionalLong next = nextTimerNanos();
    if (next.isEmpty() || next.getAsLong() >= armedForNanos) {
      return;
    }
    if (wakeup != null) {
      wakeup.cancel();
    }
    armedForNanos = next.getAsLong();
    wakeup =
        time.at(
            armedForNanos,
            () -> {
              armedForNanos = Long.MAX_VALUE;
              handle(() -> {});
            });
  }
}

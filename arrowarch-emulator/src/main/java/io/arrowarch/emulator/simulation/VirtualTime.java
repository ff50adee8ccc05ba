package io.arrowarch.emulator.simulation;

import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;

/** The one clock and event queue of a simulation. */
final class VirtualTime {
  private final TimerQueue events = new TimerQueue();
  private final Instant origin;
  private long nowNanos;

  VirtualTime(Instant origin) {
    this.origin = origin;
  }

  long nowNanos() {
    return nowNanos;
  }

  Instant wallTime() {
    return origin.plusNanos(nowNanos);
  }

  TimerQueue.Timer after(Duration delay, Runnable event) {
    return at(nowNanos + delay.toNanos(), event);
  }

  TimerQueue.Timer at(long dueNanos, Runnable event) {
    return events.schedule(Math.max(dueNanos, nowNanos), event);
  }

  /** Runs events in order until the given time is reached. */
  void advance(Duration length) {
    long end = nowNanos + length.toNanos();
    OptionalLong next = events.nextDueNanos();
    while (next.isPresent() && next.getAsLong() <= end) {
      nowNanos = Math.max(nowNanos, next.getAsLong());
      events.runDue(nowNanos);
      next = events.nextDueNanos();
    }
    nowNanos = end;
  }
}

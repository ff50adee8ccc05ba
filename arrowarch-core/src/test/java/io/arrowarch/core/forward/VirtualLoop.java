package io.arrowarch.core.forward;

import io.arrowarch.core.FakeClock;
import io.arrowarch.core.intake.ArrivalPoll;
import io.arrowarch.core.intake.ArrivalTimes;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The event loop of one router in virtual time. What arrives is handled when the loop polls, one
 * event of each socket at a poll, as a real loop reads a request and the close behind it. Handling
 * takes the time by which an event advances the clock.
 */
final class VirtualLoop implements ArrivalPoll {
  private final FakeClock clock;
  private final TimerQueue timers;
  private final List<Arrival> arrivals = new ArrayList<>();
  private final ArrivalTimes times = new ArrivalTimes();
  private List<Runnable> tasks = new ArrayList<>();
  private boolean awaitsPoll;

  private record Arrival(String socket, long atNanos, Runnable event) {}

  VirtualLoop(FakeClock clock, TimerQueue timers) {
    this.clock = clock;
    this.timers = timers;
  }

  /** Lets something arrive at a socket; earlier arrivals of a socket are to be added first. */
  void arrive(String socket, long atNanos, Runnable event) {
    arrivals.add(new Arrival(socket, atNanos, event));
  }

  @Override
  public void afterArrivals(Runnable task) {
    tasks.add(task);
    onEvent();
  }

  /** Upper bound of the time for which what is handled now has waited in its socket. */
  Duration longestWait() {
    Duration wait = times.longestWait(clock.nanoTime());
    onEvent();
    return wait;
  }

  private void onEvent() {
    awaitsPoll |= times.onEvent(clock.nanoTime());
  }

  /** Runs until a time, or until what began before it is done. */
  void runUntil(long endNanos) {
    while (clock.nanoTime() < endNanos) {
      List<Runnable> due = tasks;
      tasks = new ArrayList<>();
      if (awaitsPoll) {
        Duration unused = times.onPoll(clock.nanoTime());
      }
      boolean polled = poll();
      timers.runDue(clock.nanoTime());
      if (awaitsPoll) {
        awaitsPoll = times.onPolled();
      }
      due.forEach(this::run);
      if (!polled && due.isEmpty()) {
        sleep(endNanos);
      }
    }
  }

  private boolean poll() {
    long nowNanos = clock.nanoTime();
    Set<String> sockets = new HashSet<>();
    List<Arrival> found = new ArrayList<>();
    for (Arrival arrival : arrivals) {
      if (arrival.atNanos() <= nowNanos && sockets.add(arrival.socket())) {
        found.add(arrival);
      }
    }
    arrivals.removeAll(found);
    found.forEach(arrival -> run(arrival.event()));
    return !found.isEmpty();
  }

  /** Timers that are due run after each event, as a real loop runs them. */
  private void run(Runnable event) {
    onEvent();
    event.run();
    timers.runDue(clock.nanoTime());
  }

  private void sleep(long endNanos) {
    long next = endNanos;
    for (Arrival arrival : arrivals) {
      next = Math.min(next, arrival.atNanos());
    }
    OptionalLong timer = timers.nextDueNanos();
    next = Math.min(next, timer.orElse(endNanos));
    clock.advance(Duration.ofNanos(Math.max(1, next - clock.nanoTime())));
  }
}

package io.arrowarch.core.forward;

import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.waiting.FairQueue;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Starts searches within the limit of a {@link SlowStart}; the others wait in a {@link FairQueue}.
 * A caller that has not asked before is told within a quarter of its objective to come back; one
 * that has, and perhaps cannot again, waits for up to half of its time.
 */
final class SearchAdmission {
  private static final double REFUSAL_FRACTION = 0.2;
  private static final double LONGEST_WAIT_FRACTION = 0.5;

  /** Callers come back after a third of the time that they have left at most. */
  private static final double LONGEST_RETRY_AFTER_FRACTION = 1.0 / 3;

  private static final double SPREAD = 0.3;

  private final SlowStart slowStart;
  private final FairQueue<ForwardExecution> waiting = new FairQueue<>();
  private final RouterClock clock;
  private final TimerQueue timers;
  private final RandomGenerator random;

  /**
   * Creates an admission.
   *
   * @param limited whether there is a limit at first
   */
  SearchAdmission(RouterClock clock, TimerQueue timers, RandomGenerator random, boolean limited) {
    this.slowStart = new SlowStart(clock.nanoTime());
    if (!limited) {
      slowStart.end();
    }
    this.clock = clock;
    this.timers = timers;
    this.random = random;
  }

  SlowStart slowStart() {
    return slowStart;
  }

  /**
   * Starts a search, or lets it wait.
   *
   * @param firstTry whether its caller has not asked before, as far as is known
   */
  void admit(ForwardExecution search, boolean firstTry) {
    if (slowStart.admits(clock.nanoTime())) {
      start(search);
      return;
    }
    waiting.add(search, search.priority(), search.tenant());
    long wait = firstTry ? nanosUntilRefusal(search) : longestWaitNanos(search);
    timers.schedule(clock.nanoTime() + wait, () -> refuse(search));
  }

  /** Takes the end of a search that was started. */
  void onEnded(ForwardExecution search) {
    slowStart.onEnded(search.isInTime());
    startWaiting();
  }

  /** Starts what the limit allows, in the order of {@link FairQueue}. */
  void startWaiting() {
    while (!waiting.isEmpty() && slowStart.admits(clock.nanoTime())) {
      waiting.poll().ifPresent(this::start);
    }
  }

  /** Takes the end of a search that may still wait; returns whether it did. */
  boolean forget(ForwardExecution search) {
    return waiting.remove(search);
  }

  private void start(ForwardExecution search) {
    slowStart.onStarted();
    search.start();
  }

  private void refuse(ForwardExecution search) {
    if (waiting.remove(search)) {
      search.refuse("the process has just started", retryAfter(search));
    }
  }

  private static long nanosUntilRefusal(ForwardExecution search) {
    return (long) (REFUSAL_FRACTION * search.objective().toNanos());
  }

  private static long longestWaitNanos(ForwardExecution search) {
    return (long) (LONGEST_WAIT_FRACTION * search.responseTimeout().toNanos());
  }

  private Duration retryAfter(ForwardExecution search) {
    long longest = (long) (LONGEST_RETRY_AFTER_FRACTION * search.responseTimeout().toNanos());
    long wanted =
        Math.max(search.objective().toNanos(), slowStart.left(clock.nanoTime()).toNanos());
    double spread = 1 - SPREAD * random.nextDouble();
    return Duration.ofNanos((long) (spread * Math.min(longest, wanted)));
  }
}

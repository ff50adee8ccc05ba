package io.arrowarch.core.forward;

import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.waiting.FairQueue;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Starts searches within the limit of a {@link SlowStart}; further ones wait in a {@link
 * FairQueue}. A first try that has waited for a fifth of its objective is refused, so that the
 * caller can still retry in time. Any other request may be the caller's last try, so it waits for
 * up to half of its time left.
 */
final class SearchAdmission {
  private static final double REFUSAL_FRACTION = 0.2;
  private static final double MAXIMUM_WAIT_FRACTION = 0.5;

  /** Upper bound of the retry delay, as a fraction of the caller's time left. */
  private static final double MAXIMUM_RETRY_AFTER_FRACTION = 1.0 / 3;

  private static final double JITTER_FRACTION = 0.3;

  private final SlowStart slowStart;
  private final FairQueue<ForwardExecution> waiting = new FairQueue<>();
  private final RouterClock clock;
  private final TimerQueue timers;
  private final RandomGenerator random;

  /**
   * Creates an admission.
   *
   * @param limited whether the slow-start limit applies
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
   * Starts a search or queues it.
   *
   * @param firstTry whether this is probably the caller's first try of the request
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

  /** Called when a search that was started ends: frees its place and starts waiting searches. */
  void onEnded(ForwardExecution search) {
    slowStart.onEnded(search.isInTime());
    startWaiting();
  }

  /** Starts as many waiting searches as the limit allows, in the order of {@link FairQueue}. */
  void startWaiting() {
    while (!waiting.isEmpty() && slowStart.admits(clock.nanoTime())) {
      waiting.poll().ifPresent(this::start);
    }
  }

  /** Removes a search that ended before it was started; returns whether it was waiting. */
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
    return (long) (MAXIMUM_WAIT_FRACTION * search.responseTimeout().toNanos());
  }

  private Duration retryAfter(ForwardExecution search) {
    long longest = (long) (MAXIMUM_RETRY_AFTER_FRACTION * search.responseTimeout().toNanos());
    long wanted =
        Math.max(search.objective().toNanos(), slowStart.left(clock.nanoTime()).toNanos());
    double jitter = 1 - JITTER_FRACTION * random.nextDouble();
    return Duration.ofNanos((long) (jitter * Math.min(longest, wanted)));
  }
}

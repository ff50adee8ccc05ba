package io.arrowarch.core.time;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against timers that run inside one another. An attempt that a timer sends may fail inside
 * the call that sends it, and the event loop runs the timers that are due after each such event.
 */
public final class TimerQueueTest {
  private static final int MANY = 10_000;
  private static final long STACK_BYTES = 256 * 1024;
  private static final long TEST_TIMEOUT_SECONDS = 60;

  private TimerQueue timers;

  @BeforeMethod
  public void create() {
    timers = new TimerQueue();
  }

  /** Each timer ran inside the one before, and many that were due at one time overflowed. */
  @Test
  public void manyTimersThatRunDueTimersDoNotOverflowTheStack() throws Exception {
    List<Integer> ran = new ArrayList<>();
    for (int number = 0; number < MANY; number++) {
      int timer = number;
      TimerQueue.Timer unused =
          timers.schedule(
              0,
              () -> {
                timers.runDue(0);
                ran.add(timer);
              });
    }
    FutureTask<Boolean> task = new FutureTask<>(() -> timers.runDue(0), true);
    new Thread(null, task, "small-stack", STACK_BYTES).start();

    assertThat(task.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(ran).hasSize(MANY).isSorted();
  }

  /** The attempts of a search timed out in one run, and no close was read meanwhile. */
  @Test
  public void aRunOfManyTimersIsInterrupted() {
    long[] nanos = {0};
    List<Integer> ran = new ArrayList<>();
    for (int number = 0; number < MANY; number++) {
      int timer = number;
      TimerQueue.Timer unused =
          timers.schedule(
              0,
              () -> {
                nanos[0] += Duration.ofMillis(1).toNanos();
                ran.add(timer);
              });
    }
    timers.runDue(() -> nanos[0], Duration.ofMillis(5));
    assertThat(ran).hasSize(5);
    timers.runDue(() -> nanos[0], Duration.ofMillis(5));

    assertThat(ran).hasSize(10).isSorted();
  }

  /** A timer that fails must not keep the later ones from running at the next call. */
  @Test
  public void timersBehindAFailedOneRunAtTheNextCall() {
    List<String> ran = new ArrayList<>();
    TimerQueue.Timer unusedFailing =
        timers.schedule(
            0,
            () -> {
              throw new IllegalStateException("expected");
            });
    TimerQueue.Timer unusedLater = timers.schedule(0, () -> ran.add("later"));

    assertThatThrownBy(() -> timers.runDue(0)).isInstanceOf(IllegalStateException.class);
    timers.runDue(0);

    assertThat(ran).containsExactly("later");
  }
}

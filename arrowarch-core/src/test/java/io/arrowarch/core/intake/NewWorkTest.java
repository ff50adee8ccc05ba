package io.arrowarch.core.intake;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.arrowarch.core.FakeClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against work that begins before what has arrived is handled, or that is never begun. */
public final class NewWorkTest {
  private final FakeClock clock = new FakeClock();
  private final Queue<Runnable> polls = new ArrayDeque<>();
  private final List<String> log = new ArrayList<>();
  private NewWork work;

  @BeforeMethod
  public void create() {
    polls.clear();
    log.clear();
    work = new NewWork(clock, polls::add);
  }

  /** Work ran although the poll that was due had begun before it was added. */
  @Test
  public void workThatAPollBringsWaitsForTheNextPoll() {
    work.add(() -> log.add("first"), () -> false);
    work.add(() -> log.add("second"), () -> false);
    poll();
    assertThat(log).containsExactly("first");
    poll();

    assertThat(log).containsExactly("first", "second");
    assertThat(polls).isEmpty();
  }

  /** The steps of one request kept the loop from its sockets until all were done. */
  @Test
  public void aLongItemIsInterruptedByPolls() {
    Steps steps = new Steps(100, Duration.ofMillis(2));
    work.add(steps);
    poll();

    assertThat(steps.left).isBetween(95, 98);
    assertThat(polls).hasSize(1);
  }

  /** What is no longer needed was begun all the same. */
  @Test
  public void needlessWorkIsDropped() {
    Steps steps = new Steps(100, Duration.ofMillis(2));
    work.add(steps);
    poll();
    steps.left = 0;
    work.add(() -> log.add("next"), () -> false);
    poll();
    poll();

    assertThat(log).containsExactly("next");
    assertThat(polls).isEmpty();
  }

  /** A step that failed kept all others from being run. */
  @Test
  public void workBehindAFailedStepRuns() {
    work.add(
        () -> {
          throw new IllegalStateException("failed step");
        },
        () -> false);
    work.add(() -> log.add("behind"), () -> false);
    assertThatThrownBy(this::poll).hasMessage("failed step");
    poll();

    assertThat(log).containsExactly("behind");
  }

  private void poll() {
    polls.remove().run();
  }

  private final class Steps implements NewWork.Item {
    private final Duration length;
    private int left;

    Steps(int left, Duration length) {
      this.left = left;
      this.length = length;
    }

    @Override
    public void runNext() {
      left--;
      clock.advance(length);
    }

    @Override
    public boolean isDone() {
      return left <= 0;
    }
  }
}

package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against tasks that run inside one another, which overflows the stack, and against tasks
 * that are lost because another one has failed.
 */
public final class WorkQueueTest {
  private static final int MANY = 1_000_000;

  private WorkQueue work;

  @BeforeMethod
  public void create() {
    work = new WorkQueue();
  }

  /** A caller that gets its answer at once must get it before its call returns. */
  @Test
  public void taskRunsBeforeExecuteReturns() {
    List<String> log = new ArrayList<>();
    work.execute(() -> log.add("task"));

    assertThat(log).containsExactly("task");
  }

  /** A task that runs inside another one would see that one half done. */
  @Test
  public void taskSubmittedByATaskRunsAfterItInOrder() {
    List<String> log = new ArrayList<>();
    work.execute(
        () -> {
          work.execute(
              () -> {
                log.add("second");
                work.execute(() -> log.add("fourth"));
              });
          work.execute(() -> log.add("third"));
          log.add("first");
        });

    assertThat(log).containsExactly("first", "second", "third", "fourth");
  }

  /** A chain of tasks overflowed the stack if each ran inside the one that submitted it. */
  @Test
  public void longChainOfTasksDoesNotOverflowTheStack() {
    Chain chain = new Chain();
    work.execute(chain);

    assertThat(chain.runs).isEqualTo(MANY);
  }

  /** A failed task ended the loop, and the tasks behind it stayed in the queue. */
  @Test
  public void tasksBehindAFailedOneRunAndItsFailureIsThrown() {
    List<String> log = new ArrayList<>();

    assertThatThrownBy(
            () ->
                work.execute(
                    () -> {
                      work.execute(() -> log.add("behind"));
                      work.execute(
                          () -> {
                            throw new IllegalStateException("second failure");
                          });
                      throw new StackOverflowError("first failure");
                    }))
        .isInstanceOf(StackOverflowError.class)
        .hasMessage("first failure")
        .satisfies(
            thrown ->
                assertThat(thrown.getSuppressed())
                    .extracting(Throwable::getMessage)
                    .containsExactly("second failure"));
    work.execute(() -> log.add("later"));

    assertThat(log).containsExactly("behind", "later");
  }

  private final class Chain implements Runnable {
    private int runs;

    @Override
    public void run() {
      runs++;
      if (runs < MANY) {
        work.execute(this);
      }
    }
  }
}

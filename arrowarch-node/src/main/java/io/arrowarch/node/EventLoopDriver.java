package io.arrowarch.node;

import com.google.common.flogger.FluentLogger;
import io.arrowarch.core.intake.ArrivalPoll;
import io.arrowarch.core.intake.ArrivalTimes;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.function.Supplier;

/**
 * Runs decisions on one event loop: every call to them goes through {@link #run}, which afterwards
 * arms the one Vert.x timer that their next timer needs.
 */
public final class EventLoopDriver implements ArrivalPoll {
  private static final long NO_TIMER = -1;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * If it takes this long to handle what a poll has found, there is another poll before new work.
   */
  private static final Duration LONG_POLL = Duration.ofMillis(20);

  /** After this time there is another poll before further tasks. */
  private static final Duration LONGEST_TASK_RUN = Duration.ofMillis(5);

  /** Bounds how long new work waits for a loop that is never done with what arrives. */
  private static final int MAXIMUM_LONG_POLLS = 3;

  private final Vertx vertx;
  private final Context context;
  private final Runnable runTimers;
  private final Supplier<OptionalLong> nextTimerNanos;
  private final LoopTurns turns;
  private final SocketPolls polls;
  private final ArrivalTimes arrivals = new ArrivalTimes();

  /** Tasks that were submitted since the last poll began, and wait for the next one. */
  private final Queue<Runnable> afterNextPoll = new ArrayDeque<>();

  /** Tasks that wait until what the last poll found is handled. */
  private final Queue<Runnable> afterThisPoll = new ArrayDeque<>();

  private int longPolls;
  private int eventsInTurn;
  private long longestEventNanos;
  private long vertxTimer = NO_TIMER;
  private long armedForNanos;

  /**
   * Creates a driver.
   *
   * @param runTimers runs the timers that are due
   * @param nextTimerNanos when the next one is due, on {@link System#nanoTime}
   */
  public EventLoopDriver(
      Vertx vertx, Context context, Runnable runTimers, Supplier<OptionalLong> nextTimerNanos) {
    this(vertx, context, runTimers, nextTimerNanos, LoopTurns.NONE);
  }

  /**
   * Creates a driver.
   *
   * @param runTimers runs the timers that are due
   * @param nextTimerNanos when the next one is due, on {@link System#nanoTime}
   * @param turns told how long the turns of the loop are
   */
  public EventLoopDriver(
      Vertx vertx,
      Context context,
      Runnable runTimers,
      Supplier<OptionalLong> nextTimerNanos,
      LoopTurns turns) {
    this.vertx = vertx;
    this.context = context;
    this.runTimers = runTimers;
    this.nextTimerNanos = nextTimerNanos;
    this.turns = turns;
    this.polls = new SocketPolls(context);
  }

  /** Runs a task, now when on the event loop, else soon. */
  public void run(Runnable task) {
    if (Vertx.currentContext() == context) {
      runAndArm(task);
    } else {
      context.runOnContext(ignored -> runAndArm(task));
    }
  }

  /**
   * Upper bound of the time for which a request that is read now has waited in its socket. To be
   * called on the event loop.
   *
   * @param onNewConnection whether it is the first request of its connection
   */
  public Duration longestWaitUnread(boolean onNewConnection) {
    long nowNanos = System.nanoTime();
    Duration wait =
        onNewConnection
            ? arrivals.longestWaitOnNewConnection(nowNanos)
            : arrivals.longestWait(nowNanos);
    onEvent(nowNanos);
    return wait;
  }

  /** To be called on the event loop. */
  @Override
  public void afterArrivals(Runnable task) {
    afterNextPoll.add(task);
    onEvent(System.nanoTime());
  }

  private void onEvent(long nowNanos) {
    if (arrivals.onEvent(nowNanos)) {
      awaitPoll();
    }
  }

  private void awaitPoll() {
    polls.aroundNext(this::onPoll, this::onPolled);
  }

  private void onPoll() {
    Duration turn = arrivals.onPoll(System.nanoTime());
    turns.onTurn(turn, eventsInTurn, Duration.ofNanos(longestEventNanos));
    eventsInTurn = 0;
    longestEventNanos = 0;
    afterThisPoll.addAll(afterNextPoll);
    afterNextPoll.clear();
  }

  private void onPolled() {
    long nowNanos = System.nanoTime();
    if (!afterThisPoll.isEmpty()
        && arrivals.sincePoll(nowNanos).compareTo(LONG_POLL) >= 0
        && longPolls < MAXIMUM_LONG_POLLS) {
      // Much may have arrived while what the poll found was handled.
      longPolls++;
      onEvent(nowNanos);
    } else {
      longPolls = 0;
      runTasks(nowNanos);
    }
    if (arrivals.onPolled()) {
      awaitPoll();
    }
  }

  private void runTasks(long startNanos) {
    while (!afterThisPoll.isEmpty()) {
      if (System.nanoTime() - startNanos >= LONGEST_TASK_RUN.toNanos()) {
        onEvent(startNanos);
        return;
      }
      runAndArm(afterThisPoll.remove());
    }
  }

  private void runAndArm(Runnable task) {
    long startNanos = System.nanoTime();
    onEvent(startNanos);
    try {
      task.run();
      runTimers.run();
    } catch (RuntimeException | StackOverflowError e) {
      // A defect in one event must not stop the timers that answer all other requests.
      Log.logger.atSevere().withCause(e).log("Core: an event failed.");
    } finally {
      arm();
      eventsInTurn++;
      longestEventNanos = Math.max(longestEventNanos, System.nanoTime() - startNanos);
    }
  }

  private void arm() {
    OptionalLong next = nextTimerNanos.get();
    if (next.isEmpty() || (vertxTimer != NO_TIMER && armedForNanos <= next.getAsLong())) {
      return;
    }
    if (vertxTimer != NO_TIMER) {
      vertx.cancelTimer(vertxTimer);
    }
    armedForNanos = next.getAsLong();
    long delayNanos = armedForNanos - System.nanoTime();
    long delayMillis = Math.max(1, (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    vertxTimer =
        vertx.setTimer(
            delayMillis,
            id -> {
              vertxTimer = NO_TIMER;
              runAndArm(() -> {});
            });
  }

  /** Opened by the first line, since it takes a sixth of a process's start. */
  private static final class Log {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  }
}

package io.arrowarch.emulator.load;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import java.time.Duration;
import java.util.function.BiConsumer;

/** Starts requests at a fixed rate on one event loop and collects their outcomes. */
final class LoadGenerator extends VerticleBase {
  private static final long TICK_MILLIS = 1;
  private static final Duration LONGEST_ANSWER = Duration.ofSeconds(10);

  private final LoadOptions options;
  private final BiConsumer<Long, Recorder> sender;
  private final LoadResult result = new LoadResult();
  private final Promise<LoadResult> done = Promise.promise();
  private long startNanos;
  private long sent;
  private long outstanding;

  /** Takes the outcome of one request, once. */
  final class Recorder {
    private final long dueNanos;
    private final boolean measured;

    private Recorder(long dueNanos, boolean measured) {
      this.dueNanos = dueNanos;
      this.measured = measured;
    }

    void onAnswer(double coverage) {
      if (measured) {
        result.onAnswer(System.nanoTime() - dueNanos, coverage);
      }
      outstanding--;
    }

    void onError(String kind) {
      if (measured) {
        result.onError(kind);
      }
      outstanding--;
    }
  }

  /**
   * Creates a generator.
   *
   * @param sender sends request number n and reports to the recorder
   */
  LoadGenerator(LoadOptions options, BiConsumer<Long, Recorder> sender) {
    this.options = options;
    this.sender = sender;
  }

  Future<LoadResult> done() {
    return done.future();
  }

  @Override
  public Future<?> start() {
    startNanos = System.nanoTime();
    vertx.setPeriodic(TICK_MILLIS, this::tick);
    return Future.succeededFuture();
  }

  private void tick(long timer) {
    long elapsed = System.nanoTime() - startNanos;
    long end = options.warmUp().plus(options.length()).toNanos();
    double intervalNanos = 1e9 / options.rate();
    while (sent * intervalNanos <= Math.min(elapsed, end)) {
      long dueNanos = startNanos + (long) (sent * intervalNanos);
      boolean measured = dueNanos - startNanos >= options.warmUp().toNanos();
      outstanding++;
      sender.accept(sent, new Recorder(dueNanos, measured));
      sent++;
    }
    boolean overdue = elapsed > end + LONGEST_ANSWER.toNanos();
    if (elapsed > end && (outstanding == 0 || overdue)) {
      vertx.cancelTimer(timer);
      done.tryComplete(result);
    }
  }
}

package io.arrowarch.node.forward;

import io.arrowarch.core.forward.ForwardOptions;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/** The warm-ups of a process: one at its start, one more in a fleet that hands searches on. */
final class WarmUps {
  private static final Duration FLEET_POLL = Duration.ofMillis(200);

  /** Members find each other within a few seconds, and the first configuration comes by then. */
  private static final Duration LONGEST_WAIT_FOR_FLEET = Duration.ofSeconds(15);

  private final Vertx vertx;
  private final Context context;
  private final ForwardOptions options;
  private final CallerCodec callerCodec;
  private final AttemptCodec attemptCodec;
  private final FeedCodec feedCodec;
  private final WarmUpCodec codec;
  private final BooleanSupplier callersAreThere;
  private final IntConsumer onHandedOn;

  /**
   * Prepares warm-ups.
   *
   * @param callersAreThere they warm the process up themselves, and must not wait
   * @param onHandedOn told the number of searches when those that are handed on have ended
   */
  WarmUps(
      Vertx vertx,
      Context context,
      ForwardOptions options,
      CallerCodec callerCodec,
      AttemptCodec attemptCodec,
      FeedCodec feedCodec,
      WarmUpCodec codec,
      BooleanSupplier callersAreThere,
      IntConsumer onHandedOn) {
    this.vertx = vertx;
    this.context = context;
    this.options = options;
    this.callerCodec = callerCodec;
    this.attemptCodec = attemptCodec;
    this.feedCodec = feedCodec;
    this.codec = codec;
    this.callersAreThere = callersAreThere;
    this.onHandedOn = onHandedOn;
  }

  /** Runs one; completes with the number of searches answered. */
  Future<Integer> run(WarmUpPlan plan) {
    return new ForwardWarmUp(
            vertx,
            context,
            options,
            callerCodec,
            attemptCodec,
            feedCodec,
            codec,
            callersAreThere,
            plan)
        .run();
  }

  /** Runs the second once the fleet is known to be so large, unless callers come before. */
  void handOnWhen(BooleanSupplier fleetHandsOn) {
    long endNanos = System.nanoTime() + LONGEST_WAIT_FOR_FLEET.toNanos();
    vertx.setPeriodic(
        FLEET_POLL.toMillis(),
        id -> {
          boolean late = callersAreThere.getAsBoolean() || System.nanoTime() > endNanos;
          boolean wanted = fleetHandsOn.getAsBoolean();
          if (late || wanted) {
            vertx.cancelTimer(id);
          }
          if (wanted && !late) {
            run(WarmUpPlan.handingOn()).onSuccess(onHandedOn::accept);
          }
        });
  }
}

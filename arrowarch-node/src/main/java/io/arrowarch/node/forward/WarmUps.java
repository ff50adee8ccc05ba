package io.arrowarch.node.forward;

import io.arrowarch.core.forward.ForwardOptions;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;

/** The warm-ups of a process. */
final class WarmUps {
  private final Vertx vertx;
  private final Context context;
  private final ForwardOptions options;
  private final CallerCodec callerCodec;
  private final AttemptCodec attemptCodec;
  private final FeedCodec feedCodec;
  private final WarmUpCodec codec;
  private final BooleanSupplier callersAreThere;

  /**
   * Prepares warm-ups.
   *
   * @param callersAreThere they warm the process up themselves, and must not wait
   */
  WarmUps(
      Vertx vertx,
      Context context,
      ForwardOptions options,
      CallerCodec callerCodec,
      AttemptCodec attemptCodec,
      FeedCodec feedCodec,
      WarmUpCodec codec,
      BooleanSupplier callersAreThere) {
    this.vertx = vertx;
    this.context = context;
    this.options = options;
    this.callerCodec = callerCodec;
    this.attemptCodec = attemptCodec;
    this.feedCodec = feedCodec;
    this.codec = codec;
    this.callersAreThere = callersAreThere;
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
}

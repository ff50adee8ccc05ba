package io.arrowarch.emulator.experiment;

import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.core.hedge.LatencyTracker;
import java.time.Duration;
import java.util.function.ToLongFunction;

/** The product's hedge policy and the baselines that it is compared with. */
final class HedgePolicies {
  private static final Duration FIXED_DELAY = Duration.ofMillis(15);

  /** By name, in the order of the tables. */
  static final ImmutableMap<String, HedgePolicy> ALL =
      ImmutableMap.of(
          "adaptive", HedgePolicy.adaptive(),
          "no hedge", new Baseline(deadlineNanos -> deadlineNanos),
          "two copies", new Baseline(deadlineNanos -> 0),
          "fixed delay", new Baseline(deadlineNanos -> FIXED_DELAY.toNanos()));

  private HedgePolicies() {}

  /** A delay that depends on the deadline at most, without a budget. */
  private record Baseline(ToLongFunction<Long> delay) implements HedgePolicy {
    @Override
    public long delayNanos(LatencyTracker latencies, long deadlineNanos) {
      return delay.applyAsLong(deadlineNanos);
    }

    @Override
    public boolean isBudgeted() {
      return false;
    }
  }
}

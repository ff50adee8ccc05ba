package io.arrowarch.core.query;

import io.arrowarch.core.hedge.ExtraAttemptBudget;
import io.arrowarch.core.hedge.LatencyTracker;

/** State of one query kind that a router keeps across queries. */
final class KindState {
  private final double budgetFraction;
  private final ExtraAttemptBudget budget;
  private final LatencyTracker latencies;

  private KindState(double budgetFraction, LatencyTracker latencies) {
    this.budgetFraction = budgetFraction;
    this.budget = new ExtraAttemptBudget(budgetFraction);
    this.latencies = latencies;
  }

  static KindState create(double budgetFraction) {
    return new KindState(budgetFraction, new LatencyTracker());
  }

  /** This state if the fraction is unchanged, else one with a new budget and the same latencies. */
  KindState withBudget(double fraction) {
    return fraction == budgetFraction ? this : new KindState(fraction, latencies);
  }

  ExtraAttemptBudget budget() {
    return budget;
  }

  LatencyTracker latencies() {
    return latencies;
  }
}

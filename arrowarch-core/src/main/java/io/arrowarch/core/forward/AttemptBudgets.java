package io.arrowarch.core.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** The budgets of extra attempts, one per service. */
final class AttemptBudgets {
  /**
   * Fraction of its share that a router may spend in its first window. It reserves the same
   * fraction later, so that two incarnations of the router within one window do not exceed the
   * share together.
   */
  private static final double FIRST_WINDOW_FRACTION = 0.3;

  private ExtraAttemptRules rules;
  private final ToDoubleFunction<String> allowanceFraction;
  private final long startNanos;
  private final Map<String, ServiceBudget> budgets = new HashMap<>();

  /**
   * Creates budgets.
   *
   * @param allowanceFraction this router's fraction of a service's allowance, from 0 to 1
   * @param startNanos when the process started, on the router's monotonic clock
   */
  AttemptBudgets(
      ExtraAttemptRules rules, ToDoubleFunction<String> allowanceFraction, long startNanos) {
    this.rules = rules;
    this.allowanceFraction = allowanceFraction;
    this.startNanos = startNanos;
  }

  /** Replaces the rules; changed rules reset all counts. */
  void reconfigure(ExtraAttemptRules changed) {
    if (!changed.equals(rules)) {
      rules = changed;
      budgets.clear();
    }
  }

  /** Drops the budgets of services that are not configured and have not been used in a window. */
  void retain(Set<String> configured, long nowNanos) {
    budgets
        .entrySet()
        .removeIf(
            budget ->
                !configured.contains(budget.getKey()) && budget.getValue().isUnused(nowNanos));
  }

  void onRequest(String service, long nowNanos) {
    of(service).onRequest(nowNanos);
  }

  boolean tryRetry(String service, long nowNanos) {
    return of(service).tryRetry(share(service, nowNanos), nowNanos);
  }

  boolean tryHedge(String service, long nowNanos) {
    return of(service).tryHedge(share(service, nowNanos), nowNanos);
  }

  double left(String service, long nowNanos) {
    return of(service).left(share(service, nowNanos), nowNanos);
  }

  /**
   * This router's share of the allowance. It is smaller in the first window, as this router's
   * previous incarnation may have spent its share.
   */
  private double share(String service, long nowNanos) {
    boolean inFirstWindow = nowNanos - startNanos < rules.window().toNanos();
    double part = inFirstWindow ? FIRST_WINDOW_FRACTION : 1 - FIRST_WINDOW_FRACTION;
    return part * rules.allowance() * allowanceFraction.applyAsDouble(service);
  }

  private ServiceBudget of(String service) {
    return budgets.computeIfAbsent(service, name -> new ServiceBudget(rules));
  }
}

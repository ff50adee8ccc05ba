package io.arrowarch.core.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The budgets of extra attempts, one for each service. */
final class AttemptBudgets {
  /**
   * The part of its share that a router may spend in its first window; it keeps as much back later,
   * so that two lives within one window do not spend more than the share.
   */
  private static final double YOUNG_PART = 0.3;

  private ExtraAttemptRules rules;
  private final ToDoubleFunction<String> allowancePart;
  private final long startNanos;
  private final Map<String, ServiceBudget> budgets = new HashMap<>();

  /**
   * Creates budgets.
   *
   * @param allowancePart the part of a service's allowance that is this router's, from 0 to 1
   * @param startNanos when the process started
   */
  AttemptBudgets(ExtraAttemptRules rules, ToDoubleFunction<String> allowancePart, long startNanos) {
    this.rules = rules;
    this.allowancePart = allowancePart;
    this.startNanos = startNanos;
  }

  /** Takes other rules; windows that have begun are counted anew when their length changes. */
  void reconfigure(ExtraAttemptRules changed) {
    if (!changed.equals(rules)) {
      rules = changed;
      budgets.clear();
    }
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

  /** Within the first window this router's last life may have spent its share. */
  private double share(String service, long nowNanos) {
    boolean young = nowNanos - startNanos < rules.window().toNanos();
    double part = young ? YOUNG_PART : 1 - YOUNG_PART;
    return part * rules.allowance() * allowancePart.applyAsDouble(service);
  }

  private ServiceBudget of(String service) {
    return budgets.computeIfAbsent(service, name -> new ServiceBudget(rules));
  }
}

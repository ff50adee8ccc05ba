package io.arrowarch.core.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** The budgets of extra attempts, one for each service. */
final class AttemptBudgets {
  private ExtraAttemptRules rules;
  private final IntSupplier routers;
  private final long startNanos;
  private final Map<String, ServiceBudget> budgets = new HashMap<>();

  /**
   * Creates budgets.
   *
   * @param routers how many routers share the allowance; more rather than fewer when unknown
   * @param startNanos when the process started
   */
  AttemptBudgets(ExtraAttemptRules rules, IntSupplier routers, long startNanos) {
    this.rules = rules;
    this.routers = routers;
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
    return of(service).tryRetry(share(nowNanos), nowNanos);
  }

  boolean tryHedge(String service, long nowNanos) {
    return of(service).tryHedge(share(nowNanos), nowNanos);
  }

  double left(String service, long nowNanos) {
    return of(service).left(share(nowNanos), nowNanos);
  }

  /** Nothing within the first window: this router's last life may have spent its share. */
  private double share(long nowNanos) {
    if (nowNanos - startNanos < rules.window().toNanos()) {
      return 0;
    }
    return rules.allowance() / Math.max(1, routers.getAsInt());
  }

  private ServiceBudget of(String service) {
    return budgets.computeIfAbsent(service, name -> new ServiceBudget(rules));
  }
}

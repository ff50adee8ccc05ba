package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.Test;

/**
 * Bounds of the extra attempts of all routers. When all of them restart within one window, both
 * incarnations together could exceed the allowance of that window.
 */
public final class AttemptBudgetsTest {
  private static final ExtraAttemptRules RULES =
      new ExtraAttemptRules(0.2, 230, Duration.ofSeconds(10));
  private static final int ROUTERS = 10;
  private static final long LATER_NANOS = Duration.ofSeconds(20).toNanos();

  @Test
  public void aRecentlyStartedRouterMaySpendALittle() {
    assertThat(spendAll(new AttemptBudgets(RULES, service -> 0.1, 0), 0)).isBetween(3, 8);
  }

  @Test
  public void twoIncarnationsOfAllRoutersStayWithinOneAllowance() {
    int spent = 0;
    for (int router = 0; router < ROUTERS; router++) {
      AttemptBudgets previousIncarnation = new AttemptBudgets(RULES, service -> 1.0 / ROUTERS, 0);
      spent += spendAll(previousIncarnation, LATER_NANOS);
      AttemptBudgets incarnation = new AttemptBudgets(RULES, service -> 1.0 / ROUTERS, LATER_NANOS);
      spent += spendAll(incarnation, LATER_NANOS);
    }

    assertThat((double) spent).isLessThanOrEqualTo(RULES.allowance()).isGreaterThan(150);
  }

  @Test
  public void aRouterWithoutAnAllowanceHasOnlyTheRatio() {
    AttemptBudgets budgets = new AttemptBudgets(RULES, service -> 0, 0);
    for (int request = 0; request < 100; request++) {
      budgets.onRequest("s", LATER_NANOS);
    }

    assertThat(spendAll(budgets, LATER_NANOS)).isBetween(15, 20);
  }

  private static int spendAll(AttemptBudgets budgets, long nowNanos) {
    int spent = 0;
    while (budgets.tryRetry("s", nowNanos)) {
      spent++;
    }
    return spent;
  }
}

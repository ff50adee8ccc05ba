package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Extra attempts stay within the limit in every window, regardless of where it begins. */
class ServiceBudgetProperties {
  private static final ExtraAttemptRules RULES =
      new ExtraAttemptRules(0.2, 56, Duration.ofSeconds(10));
  private static final double SHARE = 7;

  /** Each pause, in milliseconds, precedes a request that takes all extra attempts it can get. */
  @Property(tries = 200, seed = "20261202")
  void noWindowExceedsTheBudget(
      @ForAll @Size(min = 1, max = 400) List<@IntRange(min = 0, max = 400) Integer> pauses) {
    ServiceBudget budget = new ServiceBudget(RULES);
    List<Long> requests = new ArrayList<>();
    List<Long> extras = new ArrayList<>();
    long nowNanos = 123_456_789;
    for (int pause : pauses) {
      nowNanos += Duration.ofMillis(pause).toNanos();
      budget.onRequest(nowNanos);
      requests.add(nowNanos);
      while (budget.tryRetry(SHARE, nowNanos)) {
        extras.add(nowNanos);
      }
    }
    for (long from : extras) {
      long to = from + RULES.window().toNanos();
      long extrasInWindow = extras.stream().filter(at -> at >= from && at < to).count();
      long requestsBefore =
          requests.stream().filter(at -> at >= from - RULES.window().toNanos() && at < to).count();
      assertThat((double) extrasInWindow).isLessThanOrEqualTo(0.2 * requestsBefore + SHARE);
    }
  }

  @Property(tries = 50, seed = "20261202")
  void hedgesLeaveSomethingToRetries(@ForAll @IntRange(min = 20, max = 200) int requests) {
    ServiceBudget budget = new ServiceBudget(RULES);
    for (int i = 0; i < requests; i++) {
      budget.onRequest(i);
    }
    while (budget.tryHedge(SHARE, requests)) {
      // Uses up the budget of hedges.
    }
    assertThat(budget.tryRetry(SHARE, requests)).isTrue();
  }
}

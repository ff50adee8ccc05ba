package io.arrowarch.core.tenant;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A router that reaches no counting router must neither grant the whole limit nor refuse every
 * request of a tenant with a small one. It is one of ten routers; the limit allows six requests
 * within the window of five seconds.
 */
public final class FallbackLimiterTest {
  private static final String TENANT = "t";
  private static final TenantLimit LIMIT = new TenantLimit(1, 1);
  private static final double SHARE = 0.1;

  private FallbackLimiter limiter;
  private long nowNanos;

  @BeforeMethod
  public void create() {
    limiter = new FallbackLimiter(new LimitRules(Duration.ofSeconds(5), 0.25, 20));
    nowNanos = 0;
  }

  @Test
  public void oneRequestPerWindowIsAllowedHoweverSmallTheShare() {
    assertThat(limiter.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isZero();
    assertThat(limiter.tryAcquire(TENANT, LIMIT, SHARE, nowNanos))
        .isEqualTo(Duration.ofSeconds(5).toNanos());
    nowNanos = Duration.ofSeconds(5).toNanos();
    assertThat(limiter.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isZero();
  }

  /** Load pattern: three configurations a second arrive while the router is cut off. */
  @Test
  public void aNewConfigurationDoesNotRefillTheShare() {
    assertThat(limiter.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isZero();
    limiter.retain(name -> true);
    assertThat(limiter.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isPositive();
    limiter.retain(name -> false);
    assertThat(limiter.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isZero();
  }

  @Test
  public void aChangedLimitAppliesAtOnce() {
    TenantLimit large = new TenantLimit(20, 20);
    for (int request = 0; request < 12; request++) {
      assertThat(limiter.tryAcquire(TENANT, large, SHARE, nowNanos)).isZero();
    }
    assertThat(limiter.tryAcquire(TENANT, large, SHARE, nowNanos)).isPositive();
    assertThat(limiter.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isPositive();
  }
}

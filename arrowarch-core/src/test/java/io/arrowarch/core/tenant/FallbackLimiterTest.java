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

  private FallbackLimiter parts;
  private long nowNanos;

  @BeforeMethod
  public void create() {
    parts = new FallbackLimiter(new LimitRules(Duration.ofSeconds(5), 0.25, 20));
    nowNanos = 0;
  }

  @Test
  public void oneRequestOfAWindowIsLetInHoweverSmallThePart() {
    assertThat(parts.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isZero();
    assertThat(parts.tryAcquire(TENANT, LIMIT, SHARE, nowNanos))
        .isEqualTo(Duration.ofSeconds(5).toNanos());
    nowNanos = Duration.ofSeconds(5).toNanos();
    assertThat(parts.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isZero();
  }

  /** Load pattern: three configurations a second arrive while the router is cut off. */
  @Test
  public void aNewConfigurationIsNoNewPart() {
    assertThat(parts.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isZero();
    parts.retain(name -> true);
    assertThat(parts.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isPositive();
    parts.retain(name -> false);
    assertThat(parts.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isZero();
  }

  @Test
  public void anotherLimitOrShareCountsFromThen() {
    TenantLimit large = new TenantLimit(20, 20);
    for (int request = 0; request < 12; request++) {
      assertThat(parts.tryAcquire(TENANT, large, SHARE, nowNanos)).isZero();
    }
    assertThat(parts.tryAcquire(TENANT, large, SHARE, nowNanos)).isPositive();
    assertThat(parts.tryAcquire(TENANT, LIMIT, SHARE, nowNanos)).isPositive();
  }
}

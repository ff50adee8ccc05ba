package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.route.CallerLimits;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.route.ServiceSettings;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.server.ServerEntry;
import io.arrowarch.core.server.ServerState;
import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The requests that routers may send to a server during its warm-up. */
public final class ColdServerLimitsTest {
  private static final ColdServerRules RULES = new ColdServerRules(1.5, 5);
  private static final Duration WARM_UP = Duration.ofSeconds(20);

  private ServerState server;

  @BeforeMethod
  public void create() {
    ServerDirectory directory = new ServerDirectory(Duration.ofSeconds(1));
    directory.onEntry(new ServerEntry("i", "s", "10.0.0.1:80", "z", 2, false, WARM_UP), 0);
    server = directory.find("i").orElseThrow();
  }

  private static ColdServerLimits limits(double rate, double share) {
    ColdServerLimits limits = new ColdServerLimits(RULES, service -> share);
    limits.reconfigure(
        new RoutingConfiguration(
            1,
            ImmutableList.of(),
            ImmutableMap.of("s", new ServiceSettings("s", 1, WARM_UP, rate)),
            CallerLimits.DEFAULT));
    return limits;
  }

  /** The most requests in any second from a router that sends whenever it is allowed to. */
  private int maxInAnySecond(ColdServerLimits limits) {
    long[] sentMillis = new long[100_000];
    int sent = 0;
    int most = 0;
    int first = 0;
    for (long millis = 0; millis < 10_000; millis++) {
      long nowNanos = Duration.ofMillis(millis).toNanos();
      while (limits.admits(server, nowNanos)) {
        limits.onSent(server, nowNanos);
        sentMillis[sent++] = millis;
        assertThat(sent).isLessThan(sentMillis.length);
      }
      while (first < sent && sentMillis[first] <= millis - 1_000) {
        first++;
      }
      most = Math.max(most, sent - first);
    }
    return most;
  }

  @Test
  public void oneRouterAloneStaysBelowTheBoundInAnySecond() {
    assertThat(maxInAnySecond(limits(10, 1))).isBetween(10, 20);
  }

  @Test
  public void manyRoutersTogetherStayBelowTheBound() {
    for (int routers : new int[] {2, 7, 76, 1_000}) {
      ColdServerLimits limits = limits(10, 1.0 / routers);
      int sent = 0;
      for (long second = 0; second < 10; second++) {
        long nowNanos = Duration.ofSeconds(second).toNanos();
        while (limits.admits(server, nowNanos)) {
          limits.onSent(server, nowNanos);
          sent++;
        }
      }
      // A router with a share below one request per second still sends one, at a time of its own.
      assertThat(sent * routers / 10.0).isLessThanOrEqualTo(Math.max(20, routers / 10.0));
    }
  }

  @Test
  public void aServerThatIsWarmHasNoLimit() {
    ColdServerLimits limits = limits(0.1, 1);
    assertThat(limits.admits(server, WARM_UP.toNanos())).isTrue();
    limits.onSent(server, WARM_UP.toNanos());
    for (int i = 0; i < 100; i++) {
      assertThat(limits.admits(server, WARM_UP.toNanos())).isTrue();
      limits.onSent(server, WARM_UP.toNanos());
    }
  }

  @Test
  public void aServiceWithoutARateHasNoLimit() {
    ColdServerLimits limits = limits(0, 1);
    for (int i = 0; i < 100; i++) {
      assertThat(limits.admits(server, 0)).isTrue();
      limits.onSent(server, 0);
    }
  }
}

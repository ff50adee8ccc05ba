package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.route.CallerLimits;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.route.ServiceSettings;
import io.arrowarch.core.tenant.Tenants;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Heap that requested routes occupy. The largest configuration has some 4,000 routes, and all of
 * them must fit into a tenth of a heap of 96 MB.
 */
public final class RouteMemoryTest {
  private static final int ROUTES = 1_000;
  private static final int BYTES_PER_ROUTE = 2_400;
  private static final int GENERATIONS = 5;
  private static final int REQUESTS_PER_ROUTE = 4;
  private static final int MEASUREMENTS = 5;

  private ForwardFixture fixture;
  private long version;

  @BeforeMethod
  public void create() {
    fixture = new ForwardFixture();
    fixture.server("a", "s");
  }

  /** Each route that was ever requested occupied 134 KB, which filled the heap at 600 routes. */
  @Test
  public void requestedRouteCostsAKilobyteOrTwo() {
    configure("first");
    long before = usedBytes();
    requestAll("first");

    assertThat(usedBytes() - before).isLessThan((long) ROUTES * BYTES_PER_ROUTE);
  }

  /** The state of a route was kept when the route had gone from the configuration. */
  @Test
  public void routesThatAreReplacedLeaveNothing() {
    configure("first");
    requestAll("first");
    long before = usedBytes();
    for (int generation = 0; generation < GENERATIONS; generation++) {
      configure("generation" + generation);
      requestAll("generation" + generation);
    }

    assertThat(fixture.coordinator.trackedRoutes()).isEqualTo(ROUTES);
    assertThat(usedBytes() - before).isLessThan((long) ROUTES * BYTES_PER_ROUTE);
  }

  private void configure(String prefix) {
    List<Route> routes = IntStream.range(0, ROUTES).mapToObj(i -> route(prefix + i)).toList();
    fixture.coordinator.reconfigure(
        new RoutingConfiguration(
            ++version,
            ImmutableList.copyOf(routes),
            ImmutableMap.of("s", new ServiceSettings("s", 40, Duration.ZERO, 0)),
            CallerLimits.DEFAULT,
            Tenants.NONE));
  }

  private static Route route(String name) {
    return new Route(
        name,
        "host",
        "/" + name + "/",
        true,
        ForwardFixture.TIMEOUT,
        ForwardFixture.OBJECTIVE,
        2,
        0,
        true,
        ImmutableSet.of(),
        new RouteTarget.OneServer(ImmutableList.of(new RouteTarget.WeightedService("s", 1))));
  }

  private void requestAll(String prefix) {
    for (int i = 0; i < ROUTES * REQUESTS_PER_ROUTE; i++) {
      String path = "/" + prefix + i % ROUTES + "/x";
      ForwardHandle unused = fixture.submit("id" + i, path, ForwardFixture.TIMEOUT);
      fixture.advance(Duration.ofMillis(1));
      fixture.answer(fixture.last());
    }
    fixture.advance(ForwardFixture.TIMEOUT.multipliedBy(2));
    fixture.sent.clear();
    fixture.sentAtNanos.clear();
    fixture.cancelled.clear();
    fixture.outcomes.clear();
  }

  /** The least of some measurements: the test framework allocates too. */
  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    long least = Long.MAX_VALUE;
    for (int i = 0; i < MEASUREMENTS; i++) {
      System.gc();
      least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
    }
    return least;
  }
}

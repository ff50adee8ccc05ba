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
import java.time.Duration;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Whether some routers gather for others, how many, and in which groups. */
public final class SearchLayoutTest {
  @Test
  public void nothingIsGatheredWhileServersHaveConnectionsForAllRouters() {
    assertThat(layout(7, 20, 26).isGathered("shard-0")).isFalse();
    assertThat(layout(30, 20, 70).isGathered("shard-0")).isFalse();
  }

  @Test
  public void someRoutersGatherIfServersHaveFewConnections() {
    SearchLayout layout = layout(95, 60, 70);

    assertThat(layout.isGathered("shard-0")).isTrue();
    assertThat(layout.gatherersAllowed("shard-0")).isEqualTo(23);
  }

  @Test
  public void atLeastTwoRoutersGather() {
    assertThat(layout(95, 60, 1).gatherersAllowed("shard-0")).isEqualTo(2);
  }

  @Test
  public void aServiceThatIsNotAShardIsNeverGathered() {
    assertThat(layout(95, 60, 70).isGathered("single")).isFalse();
  }

  @Test
  public void aSearchOfOrdinaryWidthIsOneGroup() {
    assertThat(SearchLayout.groups(shards(135))).hasSize(1);
  }

  @Test
  public void aVeryWideSearchIsSplitIntoEvenGroups() {
    assertThat(SearchLayout.groups(shards(1_100)))
        .hasSize(8)
        .allMatch(group -> group.size() <= 150);
  }

  @Test
  public void aShardHasTheGroupOfItsSearch() {
    assertThat(layout(95, 60, 70).groupOf("shard-7")).isEqualTo(shards(60));
    assertThat(layout(95, 60, 70).groupOf("single")).isEmpty();
  }

  private static SearchLayout layout(int routers, int width, int connections) {
    return layout(routers, shards(width), connections);
  }

  /** The layout for one search over the given shards. */
  static SearchLayout layout(int routers, ImmutableList<String> shards, int connections) {
    SearchLayout layout = new SearchLayout(() -> routers, true);
    ImmutableMap.Builder<String, ServiceSettings> services = ImmutableMap.builder();
    shards.forEach(shard -> services.put(shard, ServiceSettings.ofConnections(shard, connections)));
    Route route =
        new Route(
            "search",
            "host",
            "/",
            true,
            Duration.ofSeconds(2),
            Duration.ofMillis(200),
            2,
            0,
            false,
            ImmutableSet.of(),
            new RouteTarget.AllShards(shards, 50, 0.9));
    layout.reconfigure(
        new RoutingConfiguration(
            1, ImmutableList.of(route), services.buildOrThrow(), CallerLimits.DEFAULT));
    return layout;
  }

  private static ImmutableList<String> shards(int count) {
    return IntStream.range(0, count)
        .mapToObj(number -> "shard-" + number)
        .collect(ImmutableList.toImmutableList());
  }
}

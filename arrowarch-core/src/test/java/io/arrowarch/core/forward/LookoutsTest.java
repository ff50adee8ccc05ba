package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.feed.FeedBounds;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Which routers watch the store closely. */
public final class LookoutsTest {
  @Test
  public void aRouterThatKnowsNoOtherIsOne() {
    assertThat(isLookout("router-0", List.of())).isTrue();
  }

  @Test
  public void aZoneHasTwoAtLeast() {
    assertThat(lookouts(2)).isEqualTo(2);
    assertThat(lookouts(3)).isEqualTo(2);
  }

  @Test
  public void aLargeZoneHasAQuarterOfItsRouters() {
    assertThat(lookouts(17)).isEqualTo(4);
    assertThat(lookouts(40)).isEqualTo(10);
  }

  @Test
  public void routersOfOtherZonesDoNotCount() {
    List<NearbyRouter> elsewhere =
        IntStream.range(0, 50).mapToObj(number -> router("other-" + number, "zone-b")).toList();

    assertThat(isLookout("router-0", elsewhere)).isTrue();
  }

  private static long lookouts(int routers) {
    List<String> ids = IntStream.range(0, routers).mapToObj(number -> "router-" + number).toList();
    return ids.stream()
        .filter(
            id -> {
              List<NearbyRouter> others = new ArrayList<>();
              ids.stream()
                  .filter(other -> !other.equals(id))
                  .forEach(other -> others.add(router(other, "zone-a")));
              return isLookout(id, others);
            })
        .count();
  }

  private static NearbyRouter router(String id, String zone) {
    return new NearbyRouter(id, 1, zone, "10.0.0.1:1", 1);
  }

  private static boolean isLookout(String id, List<NearbyRouter> others) {
    ForwardOptions options =
        new ForwardOptions(
            id,
            "zone-a",
            1,
            100,
            new ExtraAttemptRules(0.2, 56, Duration.ofSeconds(10)),
            Duration.ofSeconds(5),
            new FeedBounds(Duration.ofSeconds(4), Duration.ofSeconds(3)),
            ColdServerRules.EXACT,
            ImmutableMap.of(),
            ImmutableSet.of());
    RouterGroup group = new FixedRouterGroup(1 + others.size(), others);
    return new Lookouts(options, group).includesSelf();
  }
}

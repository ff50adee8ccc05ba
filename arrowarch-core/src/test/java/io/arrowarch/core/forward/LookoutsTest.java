package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.feed.FeedBounds;
import io.arrowarch.core.peer.LiveRouter;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Which routers watch the store closely. */
public final class LookoutsTest {
  private final FakeClock clock = new FakeClock();

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
  public void aLargeZoneHasAnEighthOfItsRouters() {
    assertThat(lookouts(17)).isEqualTo(2);
    assertThat(lookouts(40)).isEqualTo(5);
  }

  @Test
  public void inASmallZoneEveryRouterFollowsTheStore() {
    for (int number = 0; number < 5; number++) {
      assertThat(of("router-" + number, without("router-" + number, zone(5))).lookoutToFollow())
          .isEmpty();
    }
  }

  @Test
  public void inALargeZoneTheOthersFollowLookouts() {
    Set<String> lookouts = new HashSet<>();
    Set<String> followed = new HashSet<>();
    for (LiveRouter router : zone(24)) {
      Lookouts view = of(router.id(), without(router.id(), zone(24)));
      if (view.isLookout()) {
        lookouts.add(router.address());
      } else {
        followed.add(view.lookoutToFollow().orElseThrow());
      }
    }
    assertThat(lookouts).hasSize(3);
    assertThat(followed).isEqualTo(lookouts);
  }

  @Test
  public void aLookoutThatGaveNoAnswerIsLeftForAMoment() {
    Lookouts view = of("router-0", zone(24));
    String first = view.lookoutToFollow().orElseThrow();
    view.onFailed(first);
    String second = view.lookoutToFollow().orElseThrow();
    assertThat(second).isNotEqualTo(first);
    view.onFailed(second);
    view.onFailed(view.lookoutToFollow().orElseThrow());
    assertThat(view.lookoutToFollow()).isEmpty();
    clock.advance(Duration.ofSeconds(3));
    assertThat(view.lookoutToFollow()).contains(first);
  }

  private static List<LiveRouter> zone(int routers) {
    return IntStream.range(0, routers)
        .mapToObj(number -> router("router-" + number, "zone-a"))
        .toList();
  }

  private static List<LiveRouter> without(String id, List<LiveRouter> routers) {
    return routers.stream().filter(router -> !router.id().equals(id)).toList();
  }

  @Test
  public void routersOfOtherZonesDoNotCount() {
    List<LiveRouter> elsewhere =
        IntStream.range(0, 50).mapToObj(number -> router("other-" + number, "zone-b")).toList();

    assertThat(isLookout("router-0", elsewhere)).isTrue();
  }

  private long lookouts(int routers) {
    return zone(routers).stream()
        .filter(router -> isLookout(router.id(), without(router.id(), zone(routers))))
        .count();
  }

  private static LiveRouter router(String id, String zone) {
    return new LiveRouter(id, 1, zone, id + ":1", 1);
  }

  private boolean isLookout(String id, List<LiveRouter> others) {
    return of(id, others).isLookout();
  }

  private Lookouts of(String id, List<LiveRouter> others) {
    ForwardOptions options =
        new ForwardOptions(
            id,
            "zone-a",
            1,
            100,
            new ExtraAttemptRules(0.2, 56, Duration.ofSeconds(10)),
            Duration.ofSeconds(5),
            new FeedBounds(
                Duration.ofSeconds(4), Duration.ofSeconds(3), Duration.ofSeconds(3), false),
            ColdServerRules.EXACT,
            ImmutableMap.of(),
            ForwardFixture.RULES,
            ImmutableSet.of());
    RouterGroup group = new FixedRouterGroup(1 + others.size(), others);
    return new Lookouts(options, group, clock);
  }
}

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

/** Which routers are watch relays, and which relay each of the others follows. */
public final class WatchRelaysTest {
  private final FakeClock clock = new FakeClock();

  @Test
  public void aRouterThatKnowsNoOtherIsARelay() {
    assertThat(isRelay("router-0", List.of())).isTrue();
  }

  @Test
  public void aZoneHasAtLeastTwoRelays() {
    assertThat(relays(2)).isEqualTo(2);
    assertThat(relays(3)).isEqualTo(2);
  }

  @Test
  public void oneRouterInEightOfALargeZoneIsARelay() {
    assertThat(relays(17)).isEqualTo(2);
    assertThat(relays(40)).isEqualTo(5);
  }

  @Test
  public void inASmallZoneNoRouterFollowsARelay() {
    for (int number = 0; number < 5; number++) {
      assertThat(of("router-" + number, without("router-" + number, zone(5))).relayToFollow())
          .isEmpty();
    }
  }

  @Test
  public void inALargeZoneTheOthersFollowRelays() {
    Set<String> relays = new HashSet<>();
    Set<String> followed = new HashSet<>();
    for (LiveRouter router : zone(24)) {
      WatchRelays view = of(router.id(), without(router.id(), zone(24)));
      if (view.isRelay()) {
        relays.add(router.address());
      } else {
        followed.add(view.relayToFollow().orElseThrow());
      }
    }
    assertThat(relays).hasSize(3);
    assertThat(followed).isEqualTo(relays);
  }

  @Test
  public void aRelayThatFailedIsAvoidedForAWhile() {
    WatchRelays view = of("router-0", zone(24));
    String first = view.relayToFollow().orElseThrow();
    view.onFailed(first);
    String second = view.relayToFollow().orElseThrow();
    assertThat(second).isNotEqualTo(first);
    view.onFailed(second);
    view.onFailed(view.relayToFollow().orElseThrow());
    assertThat(view.relayToFollow()).isEmpty();
    clock.advance(Duration.ofSeconds(3));
    assertThat(view.relayToFollow()).contains(first);
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

    assertThat(isRelay("router-0", elsewhere)).isTrue();
  }

  private long relays(int routers) {
    return zone(routers).stream()
        .filter(router -> isRelay(router.id(), without(router.id(), zone(routers))))
        .count();
  }

  private static LiveRouter router(String id, String zone) {
    return new LiveRouter(id, 1, zone, id + ":1", 1);
  }

  private boolean isRelay(String id, List<LiveRouter> others) {
    return of(id, others).isRelay();
  }

  private WatchRelays of(String id, List<LiveRouter> others) {
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
    return new WatchRelays(options, group, clock);
  }
}

package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.LiveRouter;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Groups of shards and the ranking of routers. Routers that rank differently, or reorder the others
 * when one leaves, would spread a group over too many gatherers.
 */
public final class ShardGroupsTest {
  private static final int GROUPS = 4;

  @Test
  public void groupsAreEvenAndKeepTheOrder() {
    ImmutableList<ImmutableList<String>> groups = ShardGroups.split(names("shard", 90), GROUPS);

    assertThat(groups).extracting(List::size).containsExactly(23, 23, 23, 21);
    assertThat(groups.stream().flatMap(List::stream)).containsExactlyElementsOf(names("shard", 90));
    assertThat(ShardGroups.split(names("shard", 3), GROUPS)).hasSize(3);
  }

  @Test
  public void aRouterThatLeavesDoesNotReorderTheOthers() {
    ImmutableList<String> group = names("shard", 20);
    ImmutableList<LiveRouter> routers = routers(20);
    ImmutableList<LiveRouter> before = ShardGroups.ranked(group, routers);
    LiveRouter departed = before.get(3);
    ImmutableList<LiveRouter> remaining =
        routers.stream()
            .filter(router -> !router.equals(departed))
            .collect(ImmutableList.toImmutableList());

    assertThat(ShardGroups.ranked(group, remaining))
        .containsExactlyElementsOf(
            before.stream().filter(router -> !router.equals(departed)).toList());
  }

  @Test
  public void theOrderOfTheInputDoesNotMatter() {
    ImmutableList<String> group = names("shard", 20);
    ImmutableList<LiveRouter> routers = routers(20);

    assertThat(ShardGroups.ranked(group, routers.reverse()))
        .isEqualTo(ShardGroups.ranked(group, routers));
  }

  @Test
  public void largerMachinesComeFirst() {
    ImmutableList<LiveRouter> routers =
        ImmutableList.<LiveRouter>builder()
            .addAll(routers(10))
            .add(new LiveRouter("large", 1, "zone", "10.0.0.1:1", 2))
            .build();

    assertThat(ShardGroups.ranked(names("shard", 20), routers).get(0).id()).isEqualTo("large");
  }

  @Test
  public void groupsAreSpreadOverTheRouters() {
    ImmutableList<LiveRouter> routers = routers(20);
    Map<LiveRouter, Integer> gathered = new HashMap<>();
    for (ImmutableList<String> group : ShardGroups.split(names("shard", 400), 40)) {
      for (LiveRouter router : ShardGroups.ranked(group, routers).subList(0, 5)) {
        gathered.merge(router, 1, Integer::sum);
      }
    }

    // 40 groups with 5 gatherers each over 20 routers: 10 per router on average.
    assertThat(gathered.values()).allMatch(groups -> groups >= 3 && groups <= 18);
  }

  private static ImmutableList<LiveRouter> routers(int count) {
    return names("router", count).stream()
        .map(id -> new LiveRouter(id, 1, "zone", "10.0.0.1:1", 1))
        .collect(ImmutableList.toImmutableList());
  }

  private static ImmutableList<String> names(String kind, int count) {
    return IntStream.range(0, count)
        .mapToObj(number -> kind + "-" + number)
        .collect(ImmutableList.toImmutableList());
  }
}

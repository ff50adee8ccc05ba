package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.LiveRouter;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

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
  public void aRouterThatGoesMovesNoOther() {
    ImmutableList<String> group = names("shard", 20);
    ImmutableList<LiveRouter> routers = routers(20);
    ImmutableList<LiveRouter> before = ShardGroups.ranked(group, routers);
    LiveRouter gone = before.get(3);
    ImmutableList<LiveRouter> left =
        routers.stream()
            .filter(router -> !router.equals(gone))
            .collect(ImmutableList.toImmutableList());

    assertThat(ShardGroups.ranked(group, left))
        .containsExactlyElementsOf(before.stream().filter(router -> !router.equals(gone)).toList());
  }

  @Test
  public void theOrderInWhichRoutersAreKnownMakesNoDifference() {
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
  public void noRouterGathersMostGroups() {
    ImmutableList<LiveRouter> routers = routers(20);
    Map<LiveRouter, Integer> gathered = new HashMap<>();
    for (ImmutableList<String> group : ShardGroups.split(names("shard", 400), 40)) {
      for (LiveRouter router : ShardGroups.ranked(group, routers).subList(0, 5)) {
        gathered.merge(router, 1, Integer::sum);
      }
    }

    // 40 groups by 5 gatherers over 20 routers: 10 each.
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

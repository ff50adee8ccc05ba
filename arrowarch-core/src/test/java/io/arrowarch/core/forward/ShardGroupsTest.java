package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public final class ShardGroupsTest {
  private static final int GROUPS = 4;

  @Test
  public void thereIsOneGroupWhileEveryRouterHasEnoughConnections() {
    assertThat(ShardGroups.count(20, 17, 7)).isEqualTo(1);
    assertThat(ShardGroups.count(400, 17, 12)).isEqualTo(1);
  }

  @Test
  public void whereConnectionsAreFewTheWorkIsSharedByManyRouters() {
    assertThat(ShardGroups.count(90, 35, 60)).isEqualTo(9);
    assertThat(ShardGroups.count(4, 35, 60)).isEqualTo(3);
    assertThat(ShardGroups.count(4, 0, 60)).isEqualTo(120);
  }

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
    ImmutableList<String> routers = names("router", 20);
    ImmutableSet<String> before = ShardGroups.gatherers(group, routers, GROUPS);
    String gone = before.iterator().next();
    ImmutableList<String> left =
        routers.stream()
            .filter(router -> !router.equals(gone))
            .collect(ImmutableList.toImmutableList());
    ImmutableSet<String> after = ShardGroups.gatherers(group, left, GROUPS);

    assertThat(before).hasSize(5);
    assertThat(Sets.difference(before, after)).containsExactly(gone);
    assertThat(Sets.difference(after, before)).hasSize(1);
  }

  @Test
  public void theOrderInWhichRoutersAreKnownMakesNoDifference() {
    ImmutableList<String> group = names("shard", 20);
    ImmutableList<String> routers = names("router", 20);

    assertThat(ShardGroups.gatherers(group, routers.reverse(), GROUPS))
        .isEqualTo(ShardGroups.gatherers(group, routers, GROUPS));
  }

  @Test
  public void noRouterGathersMostGroups() {
    ImmutableList<String> routers = names("router", 20);
    Map<String, Integer> gathered = new HashMap<>();
    for (ImmutableList<String> group : ShardGroups.split(names("shard", 400), 40)) {
      for (String router : ShardGroups.gatherers(group, routers, GROUPS)) {
        gathered.merge(router, 1, Integer::sum);
      }
    }

    // 40 groups by 5 gatherers over 20 routers: 10 each.
    assertThat(gathered.values()).allMatch(groups -> groups >= 3 && groups <= 18);
  }

  private static ImmutableList<String> names(String kind, int count) {
    return IntStream.range(0, count)
        .mapToObj(number -> kind + "-" + number)
        .collect(ImmutableList.toImmutableList());
  }
}

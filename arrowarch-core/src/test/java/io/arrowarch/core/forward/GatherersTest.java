package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.feed.FeedBounds;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.server.ServerEntry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The choice of the routers that gather the parts of wide searches. */
public final class GatherersTest {
  private static final ImmutableList<String> SHARDS = ImmutableList.of("s1", "s2", "s3", "s4");
  private static final int ROUTERS = 95;
  private static final int CONNECTIONS = 18;

  private final FakeClock clock = new FakeClock();
  private final ServerDirectory directory = new ServerDirectory(Duration.ofMillis(1_500));
  private final List<LiveRouter> others = new ArrayList<>();

  @BeforeMethod
  public void createServers() {
    others.clear();
    for (String shard : SHARDS) {
      server(shard, "near-1");
      server(shard, "near-2");
    }
  }

  @Test
  public void gatherersAreInTheZonesOfTheServers() {
    add("a", "near-1", 1);
    add("b", "near-2", 1);
    add("c", "far", 1);

    assertThat(primary("far")).containsExactlyInAnyOrder("a", "b");
  }

  @Test
  public void aRouterNearTheServersUsesTheGatherersOfItsZone() {
    add("a", "near-1", 1);
    add("b", "near-2", 1);

    assertThat(primary("near-1")).containsExactly("a");
  }

  @Test
  public void largerMachinesArePrimaryGatherers() {
    add("small-1", "near-1", 0.4);
    add("large-1", "near-1", 1.5);
    add("small-2", "near-2", 0.4);
    add("large-2", "near-2", 1.5);
    Gatherers.Choice choice = choose("far", 0.4);

    assertThat(ids(choice.primary())).containsExactlyInAnyOrder("large-1", "large-2");
    assertThat(ids(choice.backup())).containsExactlyInAnyOrder("small-1", "small-2");
    assertThat(choice.primaryCount()).isEqualTo(2);
  }

  @Test
  public void theConnectionsOfTheServersLimitTheGatherers() {
    for (int number = 0; number < 20; number++) {
      add("router-" + number, number % 2 == 0 ? "near-1" : "near-2", 1);
    }

    // Two thirds of the 18 connections are used, two per gatherer: six gatherers.
    assertThat(primary("far")).hasSize(6);
  }

  @Test
  public void aLargeMachineNearTheServersGathersItself() {
    add("a", "near-1", 0.4);
    Gatherers.Choice choice = choose("near-1", 1.5);

    assertThat(choice.ownRole()).isEqualTo(Gatherers.OwnRole.PRIMARY);
    assertThat(ids(choice.backup())).containsExactly("a");
  }

  @Test
  public void aSmallMachineNextToALargeOneIsABackup() {
    add("a", "near-1", 1.5);

    assertThat(choose("near-1", 0.4).ownRole()).isEqualTo(Gatherers.OwnRole.BACKUP);
  }

  @Test
  public void withoutRoutersNearTheServersThisOneGathersItself() {
    assertThat(choose("far", 1).ownRole()).isEqualTo(Gatherers.OwnRole.PRIMARY);
  }

  @Test
  public void aRouterThatKnowsTooFewServersDoesNotGather() {
    for (String shard : SHARDS.subList(0, 3)) {
      directory.onGone(shard + "-near-1", clock.nanoTime());
      directory.onGone(shard + "-near-2", clock.nanoTime());
    }
    clock.advance(Duration.ofSeconds(5));
    add("a", "near-2", 1);
    Gatherers.Choice choice = choose("near-1", 1.5);

    assertThat(choice.ownRole()).isEqualTo(Gatherers.OwnRole.NONE);
    assertThat(ids(choice.primary())).containsExactly("a");
  }

  @Test
  public void aZoneWithHalfOfTheShardsIsNotNearEnough() {
    server("s1", "half");
    server("s2", "half");
    add("a", "near-1", 1);
    add("b", "half", 1);

    assertThat(primary("half")).containsExactly("a");
  }

  private List<String> primary(String ownZone) {
    return ids(choose(ownZone, 1).primary());
  }

  private static List<String> ids(List<LiveRouter> routers) {
    return routers.stream().map(LiveRouter::id).toList();
  }

  private Gatherers.Choice choose(String ownZone, double ownCores) {
    ForwardOptions options =
        new ForwardOptions(
            "self",
            ownZone,
            ownCores,
            100,
            new ExtraAttemptRules(0.2, 56, Duration.ofSeconds(10)),
            Duration.ofSeconds(5),
            new FeedBounds(
                Duration.ofSeconds(4), Duration.ofSeconds(3), Duration.ofSeconds(3), false),
            ColdServerRules.EXACT,
            ImmutableMap.of(),
            ForwardFixture.RULES,
            ImmutableSet.of());
    return new Gatherers(
            options,
            new FixedRouterGroup(ROUTERS, others),
            SearchLayoutTest.layout(ROUTERS, SHARDS, CONNECTIONS),
            new ZoneCoverage(directory),
            clock)
        .of(SHARDS);
  }

  private void add(String id, String zone, double cores) {
    others.add(new LiveRouter(id, 1, zone, "10.0.0.1:1", cores));
  }

  private void server(String shard, String zone) {
    directory.onEntry(
        new ServerEntry(shard + "-" + zone, shard, "10.0.0.1:80", zone, 2, false, Duration.ZERO),
        clock.nanoTime());
  }
}

package io.arrowarch.core.quorum;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.TestDocuments;
import io.arrowarch.core.config.ConfigurationDocument.ZoneSpec;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Zones with fewer than three voters must share a voting group: on its own, a group of one or two
 * voters would lose its majority with the first router that fails.
 */
public class VotingGroupsTest {
  private static final ZoneSpec LARGE = new ZoneSpec("large", "r1", List.of("a1", "a2", "a3"));

  @Test
  public void largeZoneIsItsOwnGroup() {
    VotingGroups groups = VotingGroups.of(TestDocuments.withZones(LARGE));
    assertThat(groups.groupOfZone("large").voters()).containsExactly("a1", "a2", "a3");
    assertThat(groups.groupOfZone("large").majority()).isEqualTo(2);
  }

  @Test
  public void smallZonesOfARegionShareAGroup() {
    VotingGroups groups =
        VotingGroups.of(
            TestDocuments.withZones(
                LARGE,
                new ZoneSpec("s1", "r2", List.of("b1", "b2")),
                new ZoneSpec("s2", "r2", List.of("c1"))));
    assertThat(groups.groupOfZone("s1")).isEqualTo(groups.groupOfZone("s2"));
    assertThat(groups.groupOfZone("s2").voters()).containsExactly("b1", "b2", "c1");
    assertThat(groups.all()).hasSize(2);
  }

  @Test
  public void singleSmallZoneUsesTheVotersOfAllZones() {
    VotingGroups groups =
        VotingGroups.of(TestDocuments.withZones(LARGE, new ZoneSpec("tiny", "r2", List.of("b1"))));
    assertThat(groups.groupOfZone("tiny").voters()).containsExactly("b1", "a1", "a2", "a3");
    assertThat(groups.groupOfZone("tiny").majority()).isEqualTo(3);
  }
}

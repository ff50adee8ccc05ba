package io.arrowarch.core.quorum;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.ConfigurationDocument.ZoneSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * The voting groups of a configuration.
 *
 * <p>A zone with at least three voters is a group of its own. A smaller zone forms a group with the
 * other small zones of its region. If that group has fewer than three voters, the zone joins a
 * group for the whole fleet, made of all such zones. If that one is still too small, the voters of
 * all zones are added to it. A group of one or two voters could not lose a member and still have a
 * majority.
 */
public final class VotingGroups {
  private static final int MINIMUM_GROUP_SIZE = 3;
  private static final String FLEET = "fleet";

  private final ImmutableMap<String, VotingGroup> groupByZone;

  private VotingGroups(ImmutableMap<String, VotingGroup> groupByZone) {
    this.groupByZone = groupByZone;
  }

  /** Derives the groups. Every router derives the same groups from the same document. */
  public static VotingGroups of(ConfigurationDocument document) {
    Map<String, Integer> smallVotersByRegion = new HashMap<>();
    for (ZoneSpec zone : document.zones()) {
      if (!isOwnGroup(zone)) {
        smallVotersByRegion.merge(zone.region(), zone.voters().size(), Integer::sum);
      }
    }
    SetMultimap<String, String> voters = LinkedHashMultimap.create();
    Map<String, String> groupNameByZone = new HashMap<>();
    for (ZoneSpec zone : document.zones()) {
      String group = groupName(zone, smallVotersByRegion);
      groupNameByZone.put(zone.name(), group);
      voters.putAll(group, zone.voters());
    }
    if (voters.get(FLEET).size() < MINIMUM_GROUP_SIZE) {
      document.zones().forEach(zone -> voters.putAll(FLEET, zone.voters()));
    }
    ImmutableMap.Builder<String, VotingGroup> groups = ImmutableMap.builder();
    groupNameByZone.forEach(
        (zone, group) ->
            groups.put(zone, new VotingGroup(group, ImmutableSet.copyOf(voters.get(group)))));
    return new VotingGroups(groups.buildOrThrow());
  }

  /** The group that confirms the routers of a zone; it has no voters when the zone is unknown. */
  public VotingGroup groupOfZone(String zone) {
    return groupByZone.getOrDefault(zone, new VotingGroup(zone, ImmutableSet.of()));
  }

  /** All groups that have voters. */
  public ImmutableList<VotingGroup> all() {
    return groupByZone.values().stream()
        .filter(group -> !group.voters().isEmpty())
        .distinct()
        .collect(ImmutableList.toImmutableList());
  }

  /** The voters of all groups. */
  public ImmutableSet<String> voters() {
    return all().stream()
        .flatMap(group -> group.voters().stream())
        .collect(ImmutableSet.toImmutableSet());
  }

  private static String groupName(ZoneSpec zone, Map<String, Integer> smallVotersByRegion) {
    if (isOwnGroup(zone)) {
      return "zone " + zone.name();
    }
    boolean regionSuffices =
        smallVotersByRegion.getOrDefault(zone.region(), 0) >= MINIMUM_GROUP_SIZE;
    return regionSuffices ? "region " + zone.region() : FLEET;
  }

  private static boolean isOwnGroup(ZoneSpec zone) {
    return zone.voters().size() >= MINIMUM_GROUP_SIZE;
  }
}

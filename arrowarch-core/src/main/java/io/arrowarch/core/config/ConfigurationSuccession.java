package io.arrowarch.core.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.arrowarch.core.config.ConfigurationDocument.LayoutSpec;
import io.arrowarch.core.config.ConfigurationDocument.ZoneSpec;
import java.util.List;
import java.util.Optional;

/**
 * Checks that a document may replace another one. Operators run this check before they publish a
 * document.
 */
public final class ConfigurationSuccession {
  private static final int MAXIMUM_VOTER_CHANGES = 1;

  private ConfigurationSuccession() {}

  /** The faults of {@code next} as the successor of {@code previous}, both valid by themselves. */
  public static ImmutableList<ConfigurationFault> faults(
      ConfigurationDocument previous, ConfigurationDocument next) {
    ImmutableList.Builder<ConfigurationFault> faults = ImmutableList.builder();
    if (next.version() <= previous.version()) {
      faults.add(
          new ConfigurationFault(
              "$.version", "must be higher than " + previous.version() + ", the previous version"));
    }
    for (int i = 0; i < next.layouts().size(); i++) {
      checkLayout("$.layouts[" + i + "]", previous, next.layouts().get(i), faults);
    }
    checkVoters(previous, next, faults);
    return faults.build();
  }

  private static void checkLayout(
      String path,
      ConfigurationDocument previous,
      LayoutSpec layout,
      ImmutableList.Builder<ConfigurationFault> faults) {
    Optional<LayoutSpec> earlier =
        previous.layouts().stream().filter(l -> l.name().equals(layout.name())).findFirst();
    boolean sameGeneration =
        earlier.isPresent() && earlier.get().generation() == layout.generation();
    if (sameGeneration && !earlier.get().shards().equals(layout.shards())) {
      faults.add(
          new ConfigurationFault(
              path + ".generation", "must be increased because the shards have changed"));
    }
  }

  /**
   * Majorities of two voter sets are sure to have a voter in common if the sets differ by at most
   * one voter.
   */
  private static void checkVoters(
      ConfigurationDocument previous,
      ConfigurationDocument next,
      ImmutableList.Builder<ConfigurationFault> faults) {
    ImmutableSet<String> before = voters(previous);
    ImmutableSet<String> after = voters(next);
    int changes = Sets.difference(after, before).size() + Sets.difference(before, after).size();
    if (changes > MAXIMUM_VOTER_CHANGES) {
      faults.add(
          new ConfigurationFault(
              "$.zones", changes + " voters change; add or remove one at a time"));
    }
  }

  private static ImmutableSet<String> voters(ConfigurationDocument document) {
    return document.zones().stream()
        .map(ZoneSpec::voters)
        .flatMap(List::stream)
        .collect(ImmutableSet.toImmutableSet());
  }
}

package io.arrowarch.core.config;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The versioned document that operators write and the platform serves. YAML for people, JSON on the
 * wire; the schema is {@code configuration.schema.json}.
 *
 * @param version raised by the platform with every change
 * @param zones where routers and back ends run
 * @param layouts divisions of data into shards
 * @param backends servers that hold shards
 * @param kinds what callers may ask
 */
public record ConfigurationDocument(
    long version,
    List<ZoneSpec> zones,
    List<LayoutSpec> layouts,
    List<BackendSpec> backends,
    List<KindSpec> kinds) {
  public ConfigurationDocument {
    zones = ImmutableList.copyOf(zones);
    layouts = ImmutableList.copyOf(layouts);
    backends = ImmutableList.copyOf(backends);
    kinds = ImmutableList.copyOf(kinds);
  }

  /**
   * A zone.
   *
   * @param voters ids of the routers whose majority accepts configurations for the zone
   */
  public record ZoneSpec(String name, String region, List<String> voters) {
    public ZoneSpec {
      voters = ImmutableList.copyOf(voters);
    }
  }

  /**
   * A division of data into shards.
   *
   * @param generation raised whenever the set of shards or their shares change
   */
  public record LayoutSpec(String name, int generation, List<ShardSpec> shards) {
    public LayoutSpec {
      shards = ImmutableList.copyOf(shards);
    }
  }

  /**
   * A shard and the fraction of the data that it holds; the shares of a layout add up to 1.
   *
   * @param share from 0 to 1
   */
  public record ShardSpec(String name, double share) {}

  /**
   * A back end.
   *
   * @param address IP number and port
   * @param slots requests that it runs at once
   * @param connections connections that it accepts in all
   */
  public record BackendSpec(
      String id,
      String address,
      String zone,
      Map<String, String> labels,
      int slots,
      int connections,
      List<HoldingSpec> holds) {
    public BackendSpec {
      labels = ImmutableMap.copyOf(labels);
      holds = ImmutableList.copyOf(holds);
    }
  }

  /** A shard of a layout that a back end holds. */
  public record HoldingSpec(String layout, String shard) {}

  /**
   * A kind of query.
   *
   * @param deadline the largest and default deadline, for example {@code 250ms}
   * @param minimumCoverage the fraction below which a caller gets an error; from 0 to 1
   * @param hedgeBudget extra attempts allowed per first attempt; from 0 to 1
   * @param repeatable whether a request may be attempted more than once
   * @param rules back ends chosen by any rule may serve the kind
   */
  public record KindSpec(
      String name,
      Operation operation,
      String layout,
      String deadline,
      double minimumCoverage,
      double hedgeBudget,
      boolean repeatable,
      List<RuleSpec> rules) {
    public KindSpec {
      rules = ImmutableList.copyOf(rules);
    }
  }

  /**
   * One selection rule.
   *
   * @param select label terms over back ends
   * @param routerZones zones of the routers that the rule is for; all when absent
   * @param window part of the day in which the rule holds; always when absent
   */
  @JsonInclude(JsonInclude.Include.NON_ABSENT)
  public record RuleSpec(
      String select, Optional<List<String>> routerZones, Optional<String> window) {}
}

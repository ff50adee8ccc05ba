package io.arrowarch.core.config;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The versioned configuration document. Operators write it in YAML and the platform serves it in
 * JSON; the schema is {@code configuration.schema.json}.
 *
 * @param version increased by the platform with each change
 * @param zones where routers and back ends run
 * @param layouts divisions of data into shards
 * @param backends servers that store shards
 * @param kinds kinds of query that callers may send
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
   * @param voters ids of all routers of the zone. They vote on configurations, and the connections
   *     of back ends are divided among them
   */
  public record ZoneSpec(String name, String region, List<String> voters) {
    public ZoneSpec {
      voters = ImmutableList.copyOf(voters);
    }
  }

  /**
   * A division of data into shards.
   *
   * @param generation must be increased whenever the shards, their shares or their order change,
   *     because the order determines the key ranges
   */
  public record LayoutSpec(String name, int generation, List<ShardSpec> shards) {
    public LayoutSpec {
      shards = ImmutableList.copyOf(shards);
    }
  }

  /**
   * A shard and its fraction of the data. The shares of a layout add up to 1.
   *
   * @param share from 0 to 1
   */
  public record ShardSpec(String name, double share) {}

  /**
   * A back end.
   *
   * @param address IP number and port
   * @param slots number of requests that it runs at the same time
   * @param connections number of connections that it accepts from all routers together
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
   * @param deadline the default deadline, which is also the longest allowed; for example {@code
   *     250ms}
   * @param minimumCoverage fraction of the data below which a caller gets an error; from 0 to 1
   * @param hedgeBudget hedges and retries allowed per first attempt; from 0 to 1
   * @param repeatable whether a request may be attempted more than once
   * @param rules a back end may serve the kind when any of the rules selects it
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
   * @param select label selector for back ends
   * @param routerZones zones of the routers to which the rule applies; all when absent
   * @param window time of day in which the rule applies; always when absent
   */
  @JsonInclude(JsonInclude.Include.NON_ABSENT)
  public record RuleSpec(
      String select, Optional<List<String>> routerZones, Optional<String> window) {}
}

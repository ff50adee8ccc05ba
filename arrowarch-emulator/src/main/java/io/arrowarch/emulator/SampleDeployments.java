package io.arrowarch.emulator;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.ConfigurationDocument.KindSpec;
import io.arrowarch.core.config.ConfigurationDocument.RuleSpec;
import io.arrowarch.core.config.ConfigurationDocument.ZoneSpec;
import io.arrowarch.core.config.Operation;
import java.util.Optional;
import java.util.function.Supplier;

/** The deployments that are shipped as samples, with the sizes that their operators gave. */
public final class SampleDeployments {
  private static final double HEDGE_BUDGET = 0.05;

  private SampleDeployments() {}

  /**
   * Eight groups of two servers and three zones of one router each.
   *
   * @param addresses supplies the address of each back end, as IP:PORT
   */
  public static ConfigurationDocument demo(Supplier<String> addresses) {
    ImmutableList<ZoneSpec> zones =
        ImmutableList.of(
            zone("recife-1", "recife", 1),
            zone("recife-2", "recife", 1),
            zone("salvador", "bahia", 1));
    return new DeploymentBuilder(zones, addresses)
        .groups("storefront", 8, 2, 5, 70)
        .kind(search("listing-search", "storefront", "400ms", 0.5))
        .kind(fetch("listing-fetch", "storefront", "400ms", true))
        .kind(post("purchase", "storefront", "2s"))
        .build();
  }

  /** Eight groups of two servers and one router, for measurements. */
  public static ConfigurationDocument single(Supplier<String> addresses) {
    return new DeploymentBuilder(ImmutableList.of(zone("recife-1", "recife", 1)), addresses)
        .groups("storefront", 8, 2, 5, 70)
        .kind(search("listing-search", "storefront", "400ms", 0.5))
        .build();
  }

  /** Ticket resale: four zones, coverage first. */
  public static ConfigurationDocument nordeste(Supplier<String> addresses) {
    ImmutableList<ZoneSpec> zones =
        ImmutableList.of(
            zone("recife-1", "recife", 3),
            zone("recife-2", "recife", 3),
            zone("fortaleza", "fortaleza", 3),
            zone("salvador", "salvador", 3));
    return new DeploymentBuilder(zones, addresses)
        .groups("storefront", 8, 2, 5, 70)
        .groups("posting", 12, 2, 5, 70)
        .replicas("refunds", 15, 2, 110)
        .replicas("alerts", 7, 2, 110)
        .kind(search("listing-search", "storefront", "400ms", 0.5))
        .kind(fetch("listing-fetch", "storefront", "400ms", true))
        .kind(post("listing-post", "posting", "2s"))
        .kind(post("purchase", "posting", "2s"))
        .kind(post("refund", "refunds", "2s"))
        .kind(nightly("refund-reconciliation", "refunds", "20:00-06:00 America/Recife"))
        .kind(search("price-alerts", "alerts", "1s", 0.5))
        .build();
  }

  /** Recipe search: three zones, tail latency first. */
  public static ConfigurationDocument slovakia(Supplier<String> addresses) {
    ImmutableList<ZoneSpec> zones =
        ImmutableList.of(
            zone("bratislava-1", "bratislava", 3),
            zone("bratislava-2", "bratislava", 3),
            zone("trnava", "trnava", 3));
    return new DeploymentBuilder(zones, addresses)
        .groups("search-front", 8, 2, 2, 70)
        .groups("newsletter", 12, 2, 2, 70)
        .replicas("editors", 4, 3, 110)
        .replicas("shopping", 3, 3, 110)
        .kind(search("recipe-search", "search-front", "250ms", 0.8))
        .kind(search("suggest", "search-front", "100ms", 0.5))
        .kind(fetch("editorial-fetch", "editors", "1s", false))
        .kind(search("newsletter-search", "newsletter", "1s", 0.9))
        .kind(fetch("shopping-list", "shopping", "500ms", true))
        .build();
  }

  private static ZoneSpec zone(String name, String region, int routers) {
    ImmutableList.Builder<String> voters = ImmutableList.builder();
    for (int i = 1; i <= routers; i++) {
      voters.add(name + "-router-" + i);
    }
    return new ZoneSpec(name, region, voters.build());
  }

  private static KindSpec search(
      String name, String layout, String deadline, double minimumCoverage) {
    return kind(
        name, Operation.SEARCH, layout, deadline, minimumCoverage, HEDGE_BUDGET, Optional.empty());
  }

  private static KindSpec nightly(String name, String layout, String window) {
    return kind(name, Operation.SEARCH, layout, "5s", 1.0, HEDGE_BUDGET, Optional.of(window));
  }

  private static KindSpec fetch(String name, String layout, String deadline, boolean repeatable) {
    double budget = repeatable ? HEDGE_BUDGET : 0;
    return kind(name, Operation.FETCH, layout, deadline, 1.0, budget, Optional.empty());
  }

  private static KindSpec post(String name, String layout, String deadline) {
    return kind(name, Operation.POST, layout, deadline, 1.0, 0, Optional.empty());
  }

  private static KindSpec kind(
      String name,
      Operation operation,
      String layout,
      String deadline,
      double minimumCoverage,
      double hedgeBudget,
      Optional<String> window) {
    RuleSpec rule = new RuleSpec("service in (" + layout + "), !canary", Optional.empty(), window);
    boolean repeatable = hedgeBudget > 0;
    return new KindSpec(
        name,
        operation,
        layout,
        deadline,
        minimumCoverage,
        hedgeBudget,
        repeatable,
        ImmutableList.of(rule));
  }

  /** Labels of every emulated server of a service. */
  static ImmutableMap<String, String> labels(String service) {
    return ImmutableMap.of("service", service, "tier", "hot");
  }
}

package io.arrowarch.emulator.simulation;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.ConfigurationDocument.BackendSpec;
import io.arrowarch.core.config.ConfigurationDocument.HoldingSpec;
import io.arrowarch.core.config.ConfigurationDocument.KindSpec;
import io.arrowarch.core.config.ConfigurationDocument.LayoutSpec;
import io.arrowarch.core.config.ConfigurationDocument.RuleSpec;
import io.arrowarch.core.config.ConfigurationDocument.ShardSpec;
import io.arrowarch.core.config.ConfigurationDocument.ZoneSpec;
import io.arrowarch.core.config.Operation;
import java.util.Optional;

/** Documents of a small fleet: two zones of three routers and one of one, eight back ends. */
final class ScenarioDocuments {
  static final String SEARCH = "search";
  static final String STRICT_SEARCH = "strict-search";
  static final String FETCH = "fetch";
  static final String PURCHASE = "purchase";
  static final ImmutableList<String> KINDS =
      ImmutableList.of(SEARCH, STRICT_SEARCH, FETCH, PURCHASE);
  private static final int BACKENDS = 8;
  private static final ImmutableList<String> ZONES = ImmutableList.of("east", "west", "tiny");

  private ScenarioDocuments() {}

  /** A document whose layout has shards of unequal shares. */
  static ConfigurationDocument document(long version, int generation, int shards) {
    return new ConfigurationDocument(
        version,
        ImmutableList.of(
            new ZoneSpec("east", "one", ImmutableList.of("e1", "e2", "e3")),
            new ZoneSpec("west", "two", ImmutableList.of("w1", "w2", "w3")),
            new ZoneSpec("tiny", "two", ImmutableList.of("t1"))),
        ImmutableList.of(new LayoutSpec("main", generation, shards(shards))),
        backends(shards),
        ImmutableList.of(
            kind(SEARCH, Operation.SEARCH, 0, true),
            kind(STRICT_SEARCH, Operation.SEARCH, 0.9, true),
            kind(FETCH, Operation.FETCH, 1, true),
            kind(PURCHASE, Operation.POST, 1, false)));
  }

  private static ImmutableList<ShardSpec> shards(int count) {
    double weights = count * (count + 1) / 2.0;
    ImmutableList.Builder<ShardSpec> shards = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      shards.add(new ShardSpec("s" + i, (i + 1) / weights));
    }
    return shards.build();
  }

  private static ImmutableList<BackendSpec> backends(int shards) {
    ImmutableList.Builder<BackendSpec> backends = ImmutableList.builder();
    for (int i = 0; i < BACKENDS; i++) {
      backends.add(
          new BackendSpec(
              "b" + i,
              "127.0.0.1:" + (9_000 + i),
              ZONES.get(i % ZONES.size()),
              ImmutableMap.of("service", "main"),
              3,
              70,
              ImmutableList.of(new HoldingSpec("main", "s" + i % shards))));
    }
    return backends.build();
  }

  private static KindSpec kind(
      String name, Operation operation, double minimumCoverage, boolean repeatable) {
    return new KindSpec(
        name,
        operation,
        "main",
        "300ms",
        minimumCoverage,
        repeatable ? 0.1 : 0,
        repeatable,
        ImmutableList.of(new RuleSpec("service = main", Optional.empty(), Optional.empty())));
  }
}

package io.arrowarch.core;

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
import java.util.List;
import java.util.Optional;

/**
 * Configuration documents for tests. They have one layout with shards {@code s0} (share 0.75) and
 * {@code s1} (0.25). Back ends a0 and b0 are the replicas of s0, a1 and b1 those of s1.
 */
public final class TestDocuments {
  /** The id of the layout. */
  public static final String LAYOUT = "main/1";

  private TestDocuments() {}

  /** A valid document of version 1. */
  public static ConfigurationDocument valid() {
    return withZones(new ZoneSpec("z1", "r1", List.of("n1", "n2", "n3")));
  }

  /** A valid document with other zones; all back ends are in the first one. */
  public static ConfigurationDocument withZones(ZoneSpec... zones) {
    String zone = zones[0].name();
    return new ConfigurationDocument(
        1,
        ImmutableList.copyOf(zones),
        List.of(
            new LayoutSpec(
                "main", 1, List.of(new ShardSpec("s0", 0.75), new ShardSpec("s1", 0.25)))),
        List.of(
            backend("a0", 9001, zone, "s0"),
            backend("b0", 9002, zone, "s0"),
            backend("a1", 9003, zone, "s1"),
            backend("b1", 9004, zone, "s1")),
        List.of(
            kind("search", Operation.SEARCH, 0.5, true),
            kind("fetch", Operation.FETCH, 1, true),
            kind("post", Operation.POST, 1, false)));
  }

  private static BackendSpec backend(String id, int port, String zone, String shard) {
    return new BackendSpec(
        id,
        "127.0.0.1:" + port,
        zone,
        ImmutableMap.of("service", "main"),
        2,
        70,
        List.of(new HoldingSpec("main", shard)));
  }

  private static KindSpec kind(
      String name, Operation operation, double minimumCoverage, boolean repeatable) {
    return new KindSpec(
        name,
        operation,
        "main",
        "100ms",
        minimumCoverage,
        repeatable ? 0.05 : 0,
        repeatable,
        List.of(new RuleSpec("service = main", Optional.empty(), Optional.empty())));
  }
}

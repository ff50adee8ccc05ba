package io.arrowarch.emulator;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.ConfigurationDocument.BackendSpec;
import io.arrowarch.core.config.ConfigurationDocument.HoldingSpec;
import io.arrowarch.core.config.ConfigurationDocument.KindSpec;
import io.arrowarch.core.config.ConfigurationDocument.LayoutSpec;
import io.arrowarch.core.config.ConfigurationDocument.ShardSpec;
import io.arrowarch.core.config.ConfigurationDocument.ZoneSpec;
import java.util.function.Supplier;

/** Builds documents of servers in groups; the replicas of a group lie in successive zones. */
public final class DeploymentBuilder {
  private final ImmutableList<ZoneSpec> zones;
  private final Supplier<String> addresses;
  private final ImmutableList.Builder<LayoutSpec> layouts = ImmutableList.builder();
  private final ImmutableList.Builder<BackendSpec> backends = ImmutableList.builder();
  private final ImmutableList.Builder<KindSpec> kinds = ImmutableList.builder();
  private long version = 1;
  private int nextZone;

  /**
   * Starts a document of version 1.
   *
   * @param addresses supplies the address of each back end, as IP:PORT
   */
  public DeploymentBuilder(ImmutableList<ZoneSpec> zones, Supplier<String> addresses) {
    this.zones = zones;
    this.addresses = addresses;
  }

  /** Sets the version. */
  public DeploymentBuilder version(long changed) {
    version = changed;
    return this;
  }

  /** Adds a service of equal shards, each held by a group of servers. */
  public DeploymentBuilder groups(
      String service, int groups, int serversPerGroup, int slots, int connections) {
    ImmutableList.Builder<ShardSpec> shards = ImmutableList.builder();
    for (int group = 0; group < groups; group++) {
      String shard = "s" + group;
      shards.add(new ShardSpec(shard, 1.0 / groups));
      for (int server = 0; server < serversPerGroup; server++) {
        String id = service + "-" + group + "-" + (char) ('a' + server);
        addBackend(id, service, shard, slots, connections);
      }
    }
    layouts.add(new LayoutSpec(service, 1, shards.build()));
    return this;
  }

  /** Adds a service whose servers all hold all of the data. */
  public DeploymentBuilder replicas(String service, int servers, int slots, int connections) {
    for (int server = 0; server < servers; server++) {
      addBackend(service + "-" + server, service, "all", slots, connections);
    }
    layouts.add(new LayoutSpec(service, 1, ImmutableList.of(new ShardSpec("all", 1.0))));
    return this;
  }

  /** Adds a kind. */
  public DeploymentBuilder kind(KindSpec kind) {
    kinds.add(kind);
    return this;
  }

  /** The document. */
  public ConfigurationDocument build() {
    return new ConfigurationDocument(
        version, zones, layouts.build(), backends.build(), kinds.build());
  }

  private void addBackend(String id, String service, String shard, int slots, int connections) {
    String zone = zones.get(nextZone++ % zones.size()).name();
    backends.add(
        new BackendSpec(
            id,
            addresses.get(),
            zone,
            SampleDeployments.labels(service),
            slots,
            connections,
            ImmutableList.of(new HoldingSpec(service, shard))));
  }
}

package io.arrowarch.emulator.backend;

import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.core.topology.Layout;
import java.util.Map;

/**
 * What an emulated back end is.
 *
 * @param slots requests that it runs at once
 * @param maximumWaiting requests that wait for a slot before more are shed
 * @param shardByLayout the shard that it holds, by layout id
 */
public record BackendOptions(
    String id, int slots, int maximumWaiting, ImmutableMap<String, String> shardByLayout) {
  private static final int WAITING_PER_SLOT = 4;

  /** The back end that a configuration describes. */
  public static BackendOptions of(Configuration configuration, String id) {
    Backend backend = configuration.backends().get(id);
    if (backend == null) {
      throw new IllegalArgumentException("no back end is named '" + id + "'");
    }
    ImmutableMap.Builder<String, String> shards = ImmutableMap.builder();
    for (Map.Entry<String, Layout> entry : configuration.layouts().entrySet()) {
      backend.shardOf(entry.getKey()).ifPresent(shard -> shards.put(entry.getValue().id(), shard));
    }
    return new BackendOptions(
        id, backend.slots(), WAITING_PER_SLOT * backend.slots(), shards.buildOrThrow());
  }
}

package io.arrowarch.core.topology;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.config.ConfigurationDocument.BackendSpec;
import io.arrowarch.core.config.ConfigurationDocument.HoldingSpec;
import java.util.Optional;

/**
 * A configured back end.
 *
 * @param address IP number and port
 * @param slots number of requests that it runs at the same time
 * @param connections number of connections that it accepts from all routers together
 * @param holdings name of the shard that it stores, by layout name
 */
public record Backend(
    String id,
    String address,
    String zone,
    ImmutableMap<String, String> labels,
    int slots,
    int connections,
    ImmutableMap<String, String> holdings) {
  /** Converts a back end of a document. */
  public static Backend of(BackendSpec spec) {
    return new Backend(
        spec.id(),
        spec.address(),
        spec.zone(),
        ImmutableMap.copyOf(spec.labels()),
        spec.slots(),
        spec.connections(),
        spec.holds().stream().collect(toImmutableMap(HoldingSpec::layout, HoldingSpec::shard)));
  }

  /** The shard of a layout that it stores, if any. */
  public Optional<String> shardOf(String layout) {
    return Optional.ofNullable(holdings.get(layout));
  }
}

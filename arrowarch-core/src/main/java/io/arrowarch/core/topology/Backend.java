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
 * @param slots requests that it runs at once
 * @param connections connections that it accepts in all
 * @param holdings shard by layout name
 */
public record Backend(
    String id,
    String address,
    String zone,
    ImmutableMap<String, String> labels,
    int slots,
    int connections,
    ImmutableMap<String, String> holdings) {
  /** Compiles a back end of a document. */
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

  /** The shard of a layout that it holds, if any. */
  public Optional<String> shardOf(String layout) {
    return Optional.ofNullable(holdings.get(layout));
  }
}

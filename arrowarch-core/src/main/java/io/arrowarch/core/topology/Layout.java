package io.arrowarch.core.topology;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.arrowarch.core.config.ConfigurationDocument.LayoutSpec;
import java.nio.charset.StandardCharsets;

/**
 * A division of data into shards.
 *
 * @param name the name that kinds and back ends refer to
 * @param generation tells an earlier set of shards of the same name from a later one
 * @param shards in the order of the document, which fixes the key ranges
 */
public record Layout(String name, int generation, ImmutableList<Shard> shards) {
  private static final double HASH_RANGE = 4294967296.0;

  /** A shard with its fraction of the data. */
  public record Shard(String name, double share) {}

  /** Compiles the layout of a document. */
  public static Layout of(LayoutSpec spec) {
    return new Layout(
        spec.name(),
        spec.generation(),
        spec.shards().stream()
            .map(shard -> new Shard(shard.name(), shard.share()))
            .collect(toImmutableList()));
  }

  /** What requests and replies carry: {@code name/generation}. */
  public String id() {
    return name + "/" + generation;
  }

  /** The shard that holds a key: its 32-bit Murmur3 hash, placed on the cumulative shares. */
  public Shard shardOfKey(String key) {
    int hash = Hashing.murmur3_32_fixed().hashString(key, StandardCharsets.UTF_8).asInt();
    double point = Integer.toUnsignedLong(hash) / HASH_RANGE;
    double upperBound = 0;
    for (Shard shard : shards) {
      upperBound += shard.share();
      if (point < upperBound) {
        return shard;
      }
    }
    return shards.get(shards.size() - 1);
  }
}

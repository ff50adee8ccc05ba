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
 * @param generation distinguishes successive sets of shards under the same name
 * @param shards in the order of the document, which determines their key ranges
 */
public record Layout(String name, int generation, ImmutableList<Shard> shards) {
  /** Number of values of a 32-bit hash. */
  private static final double HASH_RANGE = 4294967296.0;

  /** A shard with its fraction of the data. */
  public record Shard(String name, double share) {}

  /** Converts a layout of a document. */
  public static Layout of(LayoutSpec spec) {
    return new Layout(
        spec.name(),
        spec.generation(),
        spec.shards().stream()
            .map(shard -> new Shard(shard.name(), shard.share()))
            .collect(toImmutableList()));
  }

  /** The id in requests and replies: {@code name/generation}. */
  public String id() {
    return name + "/" + generation;
  }

  /**
   * The shard of a key. Each shard owns a consecutive part of the range of 32-bit Murmur3 hashes,
   * as large as its share.
   */
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
    // The sum of the shares may be slightly below 1.
    return shards.get(shards.size() - 1);
  }
}

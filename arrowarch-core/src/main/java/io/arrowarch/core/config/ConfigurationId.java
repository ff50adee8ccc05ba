package io.arrowarch.core.config;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a configuration by its version and the digest of its document. The digest tells apart
 * different documents that have the same version by mistake.
 *
 * @param version assigned by the platform; 0 means no configuration
 * @param digest see {@link ConfigurationCodec#digest}; empty when the version is 0
 */
public record ConfigurationId(long version, String digest) {
  /** Stands for no configuration. */
  public static final ConfigurationId NONE = new ConfigurationId(0, "");

  public ConfigurationId {
    requireNonNull(digest, "digest is null");
  }

  /** Whether this configuration is {@code other} or has a higher version. */
  public boolean covers(ConfigurationId other) {
    return version > other.version || equals(other);
  }

  /** Whether both have the same version but different documents. */
  public boolean conflictsWith(ConfigurationId other) {
    return version == other.version && !digest.equals(other.digest);
  }
}

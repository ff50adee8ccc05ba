package io.arrowarch.core.config;

import static java.util.Objects.requireNonNull;

/**
 * What identifies a configuration: the platform's version and the digest of the body. The digest
 * tells a changed body under the same version.
 *
 * @param version from the platform; 0 means that a node holds none
 * @param digest see {@link ConfigurationCodec#digest}; empty when the version is 0
 */
public record ConfigurationId(long version, String digest) {
  /** What a node holds that has seen no configuration. */
  public static final ConfigurationId NONE = new ConfigurationId(0, "");

  public ConfigurationId {
    requireNonNull(digest, "digest is null");
  }

  /** Whether a holder of this configuration is at {@code other} or past it. */
  public boolean covers(ConfigurationId other) {
    return version > other.version || equals(other);
  }

  /** Whether both have the same version and different bodies. */
  public boolean conflictsWith(ConfigurationId other) {
    return version == other.version && !digest.equals(other.digest);
  }
}

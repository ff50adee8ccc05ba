package io.arrowarch.core.tenant;

import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * A caller's key, known by its hash only, so that nothing that holds, logs or sends one can show
 * the key. The hash is cryptographic: a caller could search for collisions of a weaker one.
 *
 * @param hash SHA-256 of the key in hexadecimal
 */
public record Credential(String hash) {
  private static final int SHORT_LENGTH = 8;

  public Credential {
    requireNonNull(hash, "hash is null");
  }

  /** The credential of a key as a caller sends it. */
  public static Credential ofKey(String key) {
    return new Credential(Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString());
  }

  /** Enough of the hash to tell keys apart in logs. */
  public String shortHash() {
    return hash.substring(0, Math.min(SHORT_LENGTH, hash.length()));
  }

  @Override
  public String toString() {
    return shortHash();
  }
}

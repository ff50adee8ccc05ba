package io.arrowarch.core.tenant;

import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The hash of a caller's API key. Only the hash is kept, so that whatever stores, logs or sends a
 * credential cannot reveal the key. The hash is cryptographic, because a caller could search for
 * collisions of a weaker one.
 *
 * @param hash SHA-256 of the key in hexadecimal
 */
public record Credential(String hash) {
  private static final int SHORT_LENGTH = 8;

  public Credential {
    requireNonNull(hash, "hash is null");
  }

  /** Returns the credential of a key, given as the caller sends it. */
  public static Credential ofKey(String key) {
    return new Credential(Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString());
  }

  /** Returns the first digits of the hash, which tell keys apart in logs. */
  public String shortHash() {
    return hash.substring(0, Math.min(SHORT_LENGTH, hash.length()));
  }

  @Override
  public String toString() {
    return shortHash();
  }
}

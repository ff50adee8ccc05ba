package io.arrowarch.core.suspect;

import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * Equal requests have equal keys: a key is a cryptographic hash of the method, host, target, tenant
 * and body: what reaches a server and may crash it. The attempt id, the caller's address and other
 * headers are not part of it.
 *
 * @param text the hash as 32 hexadecimal digits
 */
public record RequestKey(String text) {
  private static final int DIGITS = 32;
  private static final int DIGITS_IN_LOGS = 12;

  public RequestKey {
    requireNonNull(text, "text is null");
    if (text.length() != DIGITS) {
      throw new IllegalArgumentException("a request key must have " + DIGITS + " digits: " + text);
    }
  }

  /**
   * Hashes a request. The length of each field is hashed before the field, so that different
   * requests never give the hash function the same input.
   *
   * @param host compared without regard to case
   * @param target path and query
   * @param tenant name of the tenant that the request belongs to
   */
  public static RequestKey of(
      String method, String host, String target, Optional<String> tenant, byte[] body) {
    Hasher hasher = Hashing.sha256().newHasher();
    putText(hasher, method);
    putText(hasher, host.toLowerCase(Locale.ROOT));
    putText(hasher, target);
    hasher.putBoolean(tenant.isPresent());
    putText(hasher, tenant.orElse(""));
    hasher.putInt(body.length);
    hasher.putBytes(body);
    return new RequestKey(hasher.hash().toString().substring(0, DIGITS));
  }

  private static void putText(Hasher hasher, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    hasher.putInt(bytes.length);
    hasher.putBytes(bytes);
  }

  /** Returns the first digits, for logs. */
  public String logName() {
    return text.substring(0, DIGITS_IN_LOGS);
  }
}

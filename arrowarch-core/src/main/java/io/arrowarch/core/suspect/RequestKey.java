package io.arrowarch.core.suspect;

import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * By what a request is known again: a strong hash of what servers are given of it. Neither its
 * attempt id nor the address that it comes from belongs to that, nor other headers.
 *
 * @param text 32 hexadecimal digits
 */
public record RequestKey(String text) {
  private static final int DIGITS = 32;
  private static final int DIGITS_IN_LOGS = 12;

  public RequestKey {
    requireNonNull(text, "text is null");
    if (text.length() != DIGITS) {
      throw new IllegalArgumentException("a key has " + DIGITS + " digits: " + text);
    }
  }

  /**
   * Hashes a request. Each field is preceded by its length, so that no two requests give the same
   * bytes.
   *
   * @param host without regard to case
   * @param target path and query
   * @param tenant whose request it is
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

  /** The first digits, for logs. */
  public String logName() {
    return text.substring(0, DIGITS_IN_LOGS);
  }
}

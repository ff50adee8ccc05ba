package io.arrowarch.node.forward;

import io.vavr.control.Try;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * What a router holds, compressed for others that start: bytes between zones are dear, and a small
 * machine's link takes a tenth of a second for what is not compressed.
 */
final class CompressedListing {
  static final String ENCODING = "gzip";

  private CompressedListing() {}

  static byte[] write(byte[] listing) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream compressed = new GZIPOutputStream(bytes)) {
      compressed.write(listing);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /** The body of an answer, as it was before it was compressed, if it was. */
  static Try<byte[]> read(MultiMap headers, byte[] body) {
    if (!ENCODING.equals(headers.get(HttpHeaders.CONTENT_ENCODING))) {
      return Try.success(body);
    }
    return Try.of(
        () -> {
          try (GZIPInputStream plain = new GZIPInputStream(new ByteArrayInputStream(body))) {
            return plain.readAllBytes();
          }
        });
  }
}

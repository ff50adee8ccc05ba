package io.arrowarch.core.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Try;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Encodes and decodes messages between processes as JSON. Thread-safe. */
public final class WireCodec {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private WireCodec() {}

  /** Encodes a message. */
  public static byte[] encode(Object message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Decodes a message. Returns a failure when the bytes are not exactly one message of this type.
   * Unknown properties are ignored, so that messages from other versions can be read.
   */
  public static <T> Try<T> decode(byte[] bytes, Class<T> type) {
    return Try.of(() -> requireMessage(MAPPER.readValue(bytes, type)));
  }

  /** Decodes any JSON value. */
  public static Try<JsonNode> decodeTree(byte[] bytes) {
    return Try.of(() -> requireMessage(MAPPER.readTree(bytes)));
  }

  private static <T> T requireMessage(T message) throws IOException {
    if (message == null) {
      throw new IOException("message is null");
    }
    return message;
  }
}

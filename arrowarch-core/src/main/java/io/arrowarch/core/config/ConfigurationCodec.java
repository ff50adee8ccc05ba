package io.arrowarch.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Reads and writes configuration documents. Checks the syntax, then the schema, then the rules of
 * {@link ConfigurationValidator}. A document with any fault is rejected as a whole.
 */
public final class ConfigurationCodec {
  private static final SchemaReader READER =
      SchemaReader.fromResource(ConfigurationCodec.class, "configuration.schema.json");

  private static final int DIGEST_CHARACTERS = 16;

  private ConfigurationCodec() {}

  /** Reads a document in YAML, the form in which operators write it, or in JSON, a subset. */
  public static Either<ImmutableList<ConfigurationFault>, ConfigurationDocument> fromYaml(
      String text) {
    return READER.readYaml(text, ConfigurationDocument.class).flatMap(ConfigurationCodec::check);
  }

  /** Reads a document in JSON, the form in which the platform serves it. */
  public static Either<ImmutableList<ConfigurationFault>, ConfigurationDocument> fromJson(
      String text) {
    return READER.readJson(text, ConfigurationDocument.class).flatMap(ConfigurationCodec::check);
  }

  /** Writes the canonical JSON form, whose digest identifies the document. */
  public static String toJson(ConfigurationDocument document) {
    try {
      return SchemaReader.JSON.writeValueAsString(document);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * The digest of the canonical form: the first 64 bits of SHA-256, in hexadecimal. It is short
   * because the messages between routers carry it. It detects faults of the platform, but does not
   * protect against forgery.
   */
  public static String digest(ConfigurationDocument document) {
    return Hashing.sha256()
        .hashString(toJson(document), StandardCharsets.UTF_8)
        .toString()
        .substring(0, DIGEST_CHARACTERS);
  }

  private static Either<ImmutableList<ConfigurationFault>, ConfigurationDocument> check(
      ConfigurationDocument document) {
    ImmutableList<ConfigurationFault> faults = ConfigurationValidator.validate(document);
    return faults.isEmpty() ? Either.right(document) : Either.left(faults);
  }
}

package io.arrowarch.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Reads configuration documents: syntax, then schema, then {@link ConfigurationValidator}. A
 * document is taken whole or not at all.
 */
public final class ConfigurationCodec {
  private static final SchemaReader READER =
      SchemaReader.fromResource(ConfigurationCodec.class, "configuration.schema.json");

  private static final int DIGEST_CHARACTERS = 16;

  private ConfigurationCodec() {}

  /** Reads a document as people write it. JSON is read too, since it is a subset of YAML. */
  public static Either<ImmutableList<ConfigurationFault>, ConfigurationDocument> fromYaml(
      String text) {
    return READER.readYaml(text, ConfigurationDocument.class).flatMap(ConfigurationCodec::check);
  }

  /** Reads a document as the platform serves it. */
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
   * The digest of the canonical form: the first 64 bits of SHA-256, in hexadecimal. It guards
   * against accidents of the platform, not against forgery, and rides on every peer message.
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

package io.arrowarch.core.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.collect.ImmutableList;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Comparator;

/**
 * Reads documents and validates them against a JSON schema. Reports every violation of the schema
 * with its path; a syntax error is reported as one fault at {@code $}. Thread-safe.
 */
public final class SchemaReader {
  static final JsonMapper JSON =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .build();
  private static final String ROOT_PATH = "$";
  private static final ObjectMapper YAML =
      new ObjectMapper(new YAMLFactory())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

  private final JsonSchema schema;

  private SchemaReader(JsonSchema schema) {
    this.schema = schema;
  }

  /** Creates a reader for a schema that is a resource in the package of a class. */
  public static SchemaReader fromResource(Class<?> owner, String name) {
    try (InputStream stream = owner.getResourceAsStream(name)) {
      SchemaValidatorsConfig config =
          SchemaValidatorsConfig.builder().pathType(PathType.JSON_PATH).build();
      return new SchemaReader(
          JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
              .getSchema(JSON.readTree(stream), config));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Reads YAML, of which JSON is a subset. */
  public <T> Either<ImmutableList<ConfigurationFault>, T> readYaml(String text, Class<T> type) {
    return read(YAML, text, type);
  }

  /** Reads JSON. */
  public <T> Either<ImmutableList<ConfigurationFault>, T> readJson(String text, Class<T> type) {
    return read(JSON, text, type);
  }

  private <T> Either<ImmutableList<ConfigurationFault>, T> read(
      ObjectMapper mapper, String text, Class<T> type) {
    try {
      JsonNode tree = mapper.readTree(text);
      ImmutableList<ConfigurationFault> faults = validate(tree);
      return faults.isEmpty() ? Either.right(JSON.treeToValue(tree, type)) : Either.left(faults);
    } catch (JsonProcessingException e) {
      return Either.left(
          ImmutableList.of(new ConfigurationFault(ROOT_PATH, e.getOriginalMessage())));
    }
  }

  private ImmutableList<ConfigurationFault> validate(JsonNode tree) {
    return schema.validate(tree).stream()
        .map(
            message ->
                new ConfigurationFault(
                    message.getInstanceLocation().toString(), message.getError()))
        .sorted(Comparator.comparing(ConfigurationFault::path))
        .collect(ImmutableList.toImmutableList());
  }
}

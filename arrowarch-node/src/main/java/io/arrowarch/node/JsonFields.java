package io.arrowarch.node;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.TreeNode;
import com.fasterxml.jackson.jr.stree.JacksonJrsTreeCodec;
import com.fasterxml.jackson.jr.stree.JrsArray;
import com.fasterxml.jackson.jr.stree.JrsBoolean;
import com.fasterxml.jackson.jr.stree.JrsNumber;
import com.fasterxml.jackson.jr.stree.JrsObject;
import com.fasterxml.jackson.jr.stree.JrsString;
import com.fasterxml.jackson.jr.stree.JrsValue;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Function;

/**
 * The fields of a JSON object, by name and type. Read by Jackson's small tree codec: databind takes
 * a fifth of a process's start.
 *
 * <p>Every method throws {@link IllegalArgumentException} with the field's name when the field has
 * another type, or is absent and has no default.
 */
public final class JsonFields {
  private static final JacksonJrsTreeCodec CODEC = new JacksonJrsTreeCodec();

  /** Trees are built recursively, and a deeper one could overflow the stack of an event loop. */
  private static final int MAXIMUM_NESTING = 32;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(MAXIMUM_NESTING).build())
          .build();

  private final JrsObject object;

  private JsonFields(JrsObject object) {
    this.object = object;
  }

  /**
   * Reads a text that holds one object and nothing else.
   *
   * @throws IOException if the text is anything else, or nests more than {@value #MAXIMUM_NESTING}
   *     levels
   */
  public static JsonFields parse(byte[] text) throws IOException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      // The codec fails in ways of its own when there is nothing to read.
      if (parser.nextToken() == JsonToken.START_OBJECT) {
        TreeNode tree = CODEC.readTree(parser);
        if (tree instanceof JrsObject object && parser.nextToken() == null) {
          return new JsonFields(object);
        }
      }
      throw new IOException("the text is not one JSON object");
    }
  }

  /** See {@link #parse(byte[])}. */
  public static JsonFields parse(String text) throws IOException {
    return parse(text.getBytes(UTF_8));
  }

  /** The names of all fields. */
  public ImmutableSet<String> names() {
    return ImmutableSet.copyOf(object.fieldNames());
  }

  /** Whether there is a field of this name that is not null. */
  public boolean has(String name) {
    return value(name).isPresent();
  }

  /** A text. */
  public String text(String name) {
    return required(name, optionalText(name));
  }

  /** A text, if there is one. */
  public Optional<String> optionalText(String name) {
    return value(name).map(found -> as(JrsString.class, name, found).asText());
  }

  /** A whole number. */
  public long whole(String name) {
    return required(name, optionalWhole(name));
  }

  /** A whole number, if there is one. */
  public Optional<Long> optionalWhole(String name) {
    return optionalNumber(name)
        .map(
            number -> {
              if (number.doubleValue() != number.longValue()) {
                throw new IllegalArgumentException(name + " is no whole number");
              }
              return number.longValue();
            });
  }

  /** A number. */
  public double number(String name) {
    return required(name, optionalNumber(name)).doubleValue();
  }

  /** A truth value; false when there is none. */
  public boolean flag(String name) {
    return value(name)
        .map(found -> as(JrsBoolean.class, name, found))
        .filter(JrsBoolean.TRUE::equals)
        .isPresent();
  }

  /** An object. */
  public JsonFields object(String name) {
    return required(name, optionalObject(name));
  }

  /** An object, if there is one. */
  public Optional<JsonFields> optionalObject(String name) {
    return value(name).map(found -> new JsonFields(as(JrsObject.class, name, found)));
  }

  /** All fields as texts, by name. */
  public ImmutableMap<String, String> textsByName() {
    ImmutableMap.Builder<String, String> texts = ImmutableMap.builder();
    names().forEach(name -> texts.put(name, text(name)));
    return texts.buildOrThrow();
  }

  /** A list of texts; empty when there is none. */
  public ImmutableList<String> texts(String name) {
    return elements(name, element -> as(JrsString.class, name, element).asText());
  }

  /** A list of objects; empty when there is none. */
  public ImmutableList<JsonFields> objects(String name) {
    return elements(name, element -> new JsonFields(as(JrsObject.class, name, element)));
  }

  private Optional<Number> optionalNumber(String name) {
    return value(name).map(found -> as(JrsNumber.class, name, found).getValue());
  }

  private <T> ImmutableList<T> elements(String name, Function<JrsValue, T> read) {
    Optional<JrsArray> array = value(name).map(found -> as(JrsArray.class, name, found));
    ImmutableList.Builder<T> all = ImmutableList.builder();
    array.ifPresent(found -> found.elements().forEachRemaining(next -> all.add(read.apply(next))));
    return all.build();
  }

  private Optional<JrsValue> value(String name) {
    return Optional.ofNullable(object.get(name)).filter(found -> !found.isNull());
  }

  private static <T extends JrsValue> T as(Class<T> type, String name, JrsValue value) {
    if (!type.isInstance(value)) {
      throw new IllegalArgumentException(name + " has another type than expected");
    }
    return type.cast(value);
  }

  private static <T> T required(String name, Optional<T> value) {
    return value.orElseThrow(() -> new IllegalArgumentException(name + " is missing"));
  }
}

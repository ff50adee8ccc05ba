package io.arrowarch.node.forward;

import com.fasterxml.jackson.core.JsonGenerator;
import io.arrowarch.core.event.EventFields;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.BiConsumer;

/** Writes the fields of an event into a JSON object that is open. */
final class JsonEventFields implements EventFields {
  private final JsonGenerator json;

  JsonEventFields(JsonGenerator json) {
    this.json = json;
  }

  /** Something that may fail to be written. */
  private interface Writing {
    void run() throws IOException;
  }

  @Override
  public EventFields text(String name, String value) {
    return value.isEmpty() ? this : write(() -> json.writeStringField(name, value));
  }

  @Override
  public EventFields whole(String name, long value) {
    return write(() -> json.writeNumberField(name, value));
  }

  @Override
  public EventFields number(String name, double value) {
    return write(() -> json.writeNumberField(name, value));
  }

  @Override
  public EventFields texts(String name, List<String> values) {
    if (values.isEmpty()) {
      return this;
    }
    return write(
        () -> {
          json.writeArrayFieldStart(name);
          for (String value : values) {
            json.writeString(value);
          }
          json.writeEndArray();
        });
  }

  @Override
  public <T> EventFields objects(String name, List<T> values, BiConsumer<T, EventFields> writer) {
    if (values.isEmpty()) {
      return this;
    }
    return write(
        () -> {
          json.writeArrayFieldStart(name);
          for (T value : values) {
            json.writeStartObject();
            writer.accept(value, this);
            json.writeEndObject();
          }
          json.writeEndArray();
        });
  }

  private EventFields write(Writing writing) {
    try {
      writing.run();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return this;
  }
}

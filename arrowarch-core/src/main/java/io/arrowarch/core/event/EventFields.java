package io.arrowarch.core.event;

import java.util.List;
import java.util.function.BiConsumer;

/** Takes the fields of an event, in their order. Empty texts and lists are left out. */
public interface EventFields {
  /** A text. */
  EventFields text(String name, String value);

  /** A whole number. */
  EventFields whole(String name, long value);

  /** A number. */
  EventFields number(String name, double value);

  /** A list of texts. */
  EventFields texts(String name, List<String> values);

  /** A list of objects, whose fields {@code writer} writes. */
  <T> EventFields objects(String name, List<T> values, BiConsumer<T, EventFields> writer);
}

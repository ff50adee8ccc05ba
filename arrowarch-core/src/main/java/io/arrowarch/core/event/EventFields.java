package io.arrowarch.core.event;

import java.util.List;
import java.util.function.BiConsumer;

/** Receives the fields of an event, in order. Empty texts and lists are left out. */
public interface EventFields {
  /** Adds a text. */
  EventFields text(String name, String value);

  /** Adds a whole number. */
  EventFields whole(String name, long value);

  /** Adds a decimal number. */
  EventFields number(String name, double value);

  /** Adds a list of texts. */
  EventFields texts(String name, List<String> values);

  /** Adds a list of objects, whose fields {@code writer} writes. */
  <T> EventFields objects(String name, List<T> values, BiConsumer<T, EventFields> writer);
}

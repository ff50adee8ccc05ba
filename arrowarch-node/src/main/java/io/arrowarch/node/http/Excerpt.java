package io.arrowarch.node.http;

/** Bytes of a peer in a form that is safe to log. */
final class Excerpt {
  private static final int MAXIMUM_BYTES = 160;
  private static final int FIRST_PRINTABLE = 0x20;
  private static final int LAST_PRINTABLE = 0x7e;

  private Excerpt() {}

  /** The first of these bytes; what cannot be printed is escaped. */
  static String of(byte[] bytes, int length) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < Math.min(length, MAXIMUM_BYTES); i++) {
      append(text, bytes[i] & 0xff);
    }
    return length > MAXIMUM_BYTES ? text.append("...").toString() : text.toString();
  }

  private static void append(StringBuilder text, int value) {
    if (value == '\r') {
      text.append("\\r");
    } else if (value == '\n') {
      text.append("\\n");
    } else if (value < FIRST_PRINTABLE || value > LAST_PRINTABLE) {
      text.append("\\x%02x".formatted(value));
    } else {
      text.append((char) value);
    }
  }
}

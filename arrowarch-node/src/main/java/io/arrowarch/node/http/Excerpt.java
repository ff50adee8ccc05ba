package io.arrowarch.node.http;

/** Bytes of a peer in a form that is safe to log: no bodies, which may hold callers' data. */
final class Excerpt {
  static final int MAXIMUM_BYTES = 160;
  private static final String HEAD_END = "\\r\\n\\r\\n";
  private static final int FIRST_PRINTABLE = 0x20;
  private static final int LAST_PRINTABLE = 0x7e;

  private Excerpt() {}

  /** The first of these bytes, up to the end of a head; what cannot be printed is escaped. */
  static String of(byte[] bytes, int length) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < Math.min(length, MAXIMUM_BYTES); i++) {
      append(text, bytes[i] & 0xff);
      if (text.toString().endsWith(HEAD_END)) {
        return text.toString();
      }
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

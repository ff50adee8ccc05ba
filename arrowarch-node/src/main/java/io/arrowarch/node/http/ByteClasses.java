package io.arrowarch.node.http;

/** Classes of bytes of the grammar of HTTP (RFC 9110, 5.5 and 5.6). */
final class ByteClasses {
  private static final int FIRST_OBSOLETE_TEXT = 0x80;
  private static final int FIRST_VISIBLE = 0x21;
  private static final int DELETE = 0x7f;
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
  private static final boolean[] TOKEN = tokenTable();

  private ByteClasses() {}

  /** Whether the byte may stand in the name of a field. */
  static boolean isToken(byte value) {
    return value >= 0 && TOKEN[value];
  }

  /** Whether the byte may stand in the value of a field or in a reason phrase. */
  static boolean isText(byte value) {
    int unsigned = value & 0xff;
    return unsigned == '\t'
        || unsigned == ' '
        || (unsigned >= FIRST_VISIBLE && unsigned != DELETE)
        || unsigned >= FIRST_OBSOLETE_TEXT;
  }

  static boolean isBlank(byte value) {
    return value == ' ' || value == '\t';
  }

  static boolean isDigit(byte value) {
    return value >= '0' && value <= '9';
  }

  private static boolean[] tokenTable() {
    boolean[] table = new boolean[Byte.MAX_VALUE + 1];
    for (char c = 0; c < table.length; c++) {
      boolean letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
      table[c] = letter || (c >= '0' && c <= '9') || TOKEN_SYMBOLS.indexOf(c) >= 0;
    }
    return table;
  }
}

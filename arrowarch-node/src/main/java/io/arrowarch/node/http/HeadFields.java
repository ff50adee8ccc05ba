package io.arrowarch.node.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * The fields of a head by the grammar of RFC 9112, without what the RFC lets a recipient accept:
 * folded fields, lines that end with a bare LF, repeated or listed lengths, transfer codings other
 * than {@code chunked}.
 */
final class HeadFields {
  private static final int MAXIMUM_LENGTH_DIGITS = 18;
  private static final long UNKNOWN = -1;

  private static final int LINE_END_BYTES = 2;

  private byte[] bytes = new byte[0];
  private int length;
  private long contentLength = UNKNOWN;
  private boolean chunked;
  private String connectionOptions = "";

  /**
   * Reads the fields of a head.
   *
   * @param start of the first field, or of the empty line that ends the head
   * @param length of the head in the array, with the empty line
   */
  static HeadFields parse(byte[] bytes, int start, int length) throws MalformedResponseException {
    HeadFields fields = new HeadFields();
    int lineStart = start;
    while (bytes[lineStart] != '\r') {
      int lineEnd = lineStart;
      while (bytes[lineEnd] != '\n') {
        lineEnd++;
      }
      fields.readLine(bytes, lineStart, lineEnd + 1);
      lineStart = lineEnd + 1;
    }
    if (lineStart + LINE_END_BYTES != length) {
      throw new MalformedResponseException(ResponseFault.FIELD, Excerpt.of(bytes, length));
    }
    return fields;
  }

  /**
   * Reads a field.
   *
   * @param start of its line in the array
   * @param end of its line, behind the LF
   */
  void readLine(byte[] bytes, int start, int end) throws MalformedResponseException {
    this.bytes = bytes;
    this.length = end;
    int colon = start;
    while (ByteClasses.isToken(bytes[colon])) {
      colon++;
    }
    int textEnd = textEnd(bytes, Math.min(colon + 1, end - 1));
    boolean endsLine = bytes[textEnd] == '\r' && textEnd + LINE_END_BYTES == end;
    if (colon == start || bytes[colon] != ':' || !endsLine) {
      throw malformed(ResponseFault.FIELD);
    }
    if (isNamed(start, colon, "content-length")) {
      readContentLength(colon + 1, textEnd);
    } else if (isNamed(start, colon, "transfer-encoding")) {
      readTransferEncoding(colon + 1, textEnd);
    } else if (isNamed(start, colon, "connection")) {
      readConnection(colon + 1, textEnd);
    }
  }

  boolean hasContentLength() {
    return contentLength != UNKNOWN;
  }

  /** Bytes of the body, where a field tells. */
  long contentLength() {
    return contentLength;
  }

  /** Whether the body ends with a last chunk. */
  boolean isChunked() {
    return chunked;
  }

  /** Whether a {@code Connection} field has this option, given in lower case. */
  boolean hasConnectionOption(String option) {
    return connectionOptions.contains("," + option + ",");
  }

  /** Where the text that starts here ends. */
  static int textEnd(byte[] bytes, int from) {
    int end = from;
    while (ByteClasses.isText(bytes[end])) {
      end++;
    }
    return end;
  }

  private boolean isNamed(int start, int end, String name) {
    return end - start == name.length() && text(start, end).equalsIgnoreCase(name);
  }

  private void readContentLength(int from, int to) throws MalformedResponseException {
    String value = value(from, to);
    boolean digits = !value.isEmpty() && value.chars().allMatch(c -> c >= '0' && c <= '9');
    if (contentLength != UNKNOWN || !digits || value.length() > MAXIMUM_LENGTH_DIGITS) {
      throw malformed(ResponseFault.BODY_LENGTH);
    }
    contentLength = Long.parseLong(value);
  }

  private void readTransferEncoding(int from, int to) throws MalformedResponseException {
    if (chunked || !value(from, to).equalsIgnoreCase("chunked")) {
      throw malformed(ResponseFault.BODY_LENGTH);
    }
    chunked = true;
  }

  private void readConnection(int from, int to) {
    String options = text(from, to).replace(" ", "").replace("\t", "").toLowerCase(Locale.ROOT);
    connectionOptions += "," + options + ",";
  }

  /** A value without the blanks around it. */
  private String value(int from, int to) {
    int start = from;
    int end = to;
    while (start < end && ByteClasses.isBlank(bytes[start])) {
      start++;
    }
    while (end > start && ByteClasses.isBlank(bytes[end - 1])) {
      end--;
    }
    return text(start, end);
  }

  private String text(int start, int end) {
    return new String(bytes, start, end - start, StandardCharsets.ISO_8859_1);
  }

  private MalformedResponseException malformed(ResponseFault fault) {
    return new MalformedResponseException(fault, Excerpt.of(bytes, length));
  }
}

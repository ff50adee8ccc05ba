package io.arrowarch.node.http;

import java.nio.charset.StandardCharsets;

/**
 * The head of a response by the grammar of RFC 9112, without what the RFC lets a recipient accept:
 * folded fields, lines that end with a bare LF, repeated or listed lengths, transfer codings other
 * than {@code chunked}.
 *
 * <p>No head may hold the start of another response, not even in a value. A response that stops
 * within its head and the response that follows it look like one head to a decoder, with the status
 * of the first and fields of both. The second one's status line is whole wherever the first one
 * stops, so that looking for one finds all of them.
 */
final class ResponseHead {
  private static final byte[] PROTOCOL = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  /** Of a status line, up to the byte after the status: "HTTP/1.1 200 ". */
  private static final int STATUS_LINE_START_BYTES = 13;

  private static final int MINOR_VERSION_OFFSET = 7;
  private static final int STATUS_OFFSET = 9;
  private static final int STATUS_DIGITS = 3;
  private static final int MAXIMUM_LENGTH_DIGITS = 18;
  private static final int DECIMAL = 10;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int NO_CONTENT = 204;
  private static final int RESET_CONTENT = 205;
  private static final int NOT_MODIFIED = 304;
  private static final long UNKNOWN = -1;

  private final byte[] bytes;
  private final int length;
  private long contentLength = UNKNOWN;
  private boolean chunked;

  private ResponseHead(byte[] bytes, int length) {
    this.bytes = bytes;
    this.length = length;
  }

  /**
   * Reads a head.
   *
   * @param length of the head in the array, with the empty line that ends it
   */
  static ResponseHead parse(byte[] bytes, int length) throws MalformedResponseException {
    ResponseHead head = new ResponseHead(bytes, length);
    head.parse();
    return head;
  }

  /** Whether another response follows that is the final one. */
  boolean isInterim() {
    return status() < FIRST_FINAL_STATUS;
  }

  /** Whether the body ends with a last chunk. */
  boolean isChunked() {
    return chunked;
  }

  /** Whether the status allows no body whatever the fields say. */
  boolean isWithoutBody() {
    return status() == NO_CONTENT || status() == NOT_MODIFIED;
  }

  /** Whether the body ends with its connection. */
  boolean endsWithConnection() {
    return !chunked && contentLength == UNKNOWN;
  }

  /** Bytes of the body, where the head tells. */
  long contentLength() {
    return contentLength;
  }

  int status() {
    int status = 0;
    for (int i = 0; i < STATUS_DIGITS; i++) {
      status = status * DECIMAL + bytes[STATUS_OFFSET + i] - '0';
    }
    return status;
  }

  private void parse() throws MalformedResponseException {
    if (!isStatusLineAt(0)) {
      throw malformed(ResponseFault.STATUS_LINE);
    }
    int lineStart = requireTextUntilLineEnd(STATUS_LINE_START_BYTES - 1, ResponseFault.STATUS_LINE);
    requireNoStatusLineAfter(1);
    while (bytes[lineStart] != '\r') {
      lineStart = field(lineStart);
    }
    if (lineStart + 2 != length) {
      throw malformed(ResponseFault.FIELD);
    }
    requireConsistentLength();
  }

  /** Whether a status line begins here, up to the byte after its status. */
  private boolean isStatusLineAt(int start) {
    if (start + STATUS_LINE_START_BYTES > length) {
      return false;
    }
    for (int i = 0; i < PROTOCOL.length; i++) {
      if (bytes[start + i] != PROTOCOL[i]) {
        return false;
      }
    }
    byte minor = bytes[start + MINOR_VERSION_OFFSET];
    byte end = bytes[start + STATUS_LINE_START_BYTES - 1];
    return (minor == '0' || minor == '1')
        && bytes[start + MINOR_VERSION_OFFSET + 1] == ' '
        && bytes[start + STATUS_OFFSET] >= '1'
        && bytes[start + STATUS_OFFSET] <= '9'
        && ByteClasses.isDigit(bytes[start + STATUS_OFFSET + 1])
        && ByteClasses.isDigit(bytes[start + STATUS_OFFSET + 2])
        && (end == ' ' || end == '\r');
  }

  private void requireNoStatusLineAfter(int from) throws MalformedResponseException {
    for (int i = from; i + STATUS_LINE_START_BYTES <= length; i++) {
      if (bytes[i] == PROTOCOL[0] && isStatusLineAt(i)) {
        throw malformed(ResponseFault.STATUS_LINE_WITHIN_HEAD);
      }
    }
  }

  /** Reads a field; returns where the next line starts. */
  private int field(int start) throws MalformedResponseException {
    int colon = start;
    while (ByteClasses.isToken(bytes[colon])) {
      colon++;
    }
    if (colon == start || bytes[colon] != ':') {
      throw malformed(ResponseFault.FIELD);
    }
    int next = requireTextUntilLineEnd(colon + 1, ResponseFault.FIELD);
    if (isNamed(start, colon, "content-length")) {
      readContentLength(colon + 1, next - 2);
    } else if (isNamed(start, colon, "transfer-encoding")) {
      readTransferEncoding(colon + 1, next - 2);
    }
    return next;
  }

  /** Returns where the next line starts. */
  private int requireTextUntilLineEnd(int from, ResponseFault fault)
      throws MalformedResponseException {
    int end = from;
    while (ByteClasses.isText(bytes[end])) {
      end++;
    }
    if (bytes[end] != '\r' || bytes[end + 1] != '\n') {
      throw malformed(fault);
    }
    return end + 2;
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

  private void requireConsistentLength() throws MalformedResponseException {
    boolean both = chunked && contentLength != UNKNOWN;
    boolean chunkedBeforeChunks = chunked && bytes[MINOR_VERSION_OFFSET] == '0';
    boolean bodyOfReset = status() == RESET_CONTENT && (chunked || contentLength > 0);
    if (both || chunkedBeforeChunks || bodyOfReset) {
      throw malformed(ResponseFault.BODY_LENGTH);
    }
    if (status() == SWITCHING_PROTOCOLS) {
      throw malformed(ResponseFault.STATUS_LINE);
    }
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

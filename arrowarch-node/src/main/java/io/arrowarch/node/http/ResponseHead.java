package io.arrowarch.node.http;

import java.nio.charset.StandardCharsets;

/**
 * The head of a response; strict as {@link HeadFields} is.
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
  private static final int LINE_END_BYTES = 2;
  private static final int DECIMAL = 10;
  private static final int FIRST_FINAL_STATUS = 200;

  /** There is no class of status codes above that of server errors (RFC 9110, 15). */
  private static final int LAST_STATUS = 599;

  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int NO_CONTENT = 204;
  private static final int RESET_CONTENT = 205;
  private static final int NOT_MODIFIED = 304;

  private final LineBytes head;
  private final HeadFields fields = new HeadFields();
  private byte[] bytes;
  private int length;
  private int lineStart;

  /** Creates a head that is read line by line from what is collected. */
  ResponseHead(LineBytes head) {
    this.head = head;
  }

  /** Checks the first line before it is whole: a peer may send nothing more. */
  void requirePossibleStart() throws MalformedResponseException {
    bytes = head.array();
    length = head.length();
    for (int i = 0; lineStart == 0 && i < Math.min(length, PROTOCOL.length); i++) {
      if (bytes[i] != PROTOCOL[i]) {
        throw malformed(ResponseFault.STATUS_LINE);
      }
    }
  }

  /**
   * Reads the line that has just been collected with its end.
   *
   * @return whether it ends the head
   */
  boolean onLine() throws MalformedResponseException {
    bytes = head.array();
    length = head.length();
    if (lineStart == 0) {
      readStatusLine();
    } else if (length - lineStart == LINE_END_BYTES && bytes[lineStart] == '\r') {
      requireConsistentLength();
      return true;
    } else {
      requireNoStatusLineFrom(lineStart);
      fields.readLine(bytes, lineStart, length);
    }
    lineStart = length;
    return false;
  }

  boolean hasStatusLine() {
    return lineStart > 0;
  }

  /** Whether another response follows that is the final one. */
  boolean isInterim() {
    return status() < FIRST_FINAL_STATUS;
  }

  /** Whether the body ends with a last chunk. */
  boolean isChunked() {
    return fields.isChunked();
  }

  /** Whether the status allows no body whatever the fields say. */
  boolean isWithoutBody() {
    return status() == NO_CONTENT || status() == NOT_MODIFIED;
  }

  /** Whether the body ends with its connection. */
  boolean endsWithConnection() {
    return !fields.isChunked() && !fields.hasContentLength();
  }

  /** Bytes of the body, where the head tells. */
  long contentLength() {
    return fields.contentLength();
  }

  int status() {
    int status = 0;
    for (int i = 0; i < STATUS_DIGITS; i++) {
      status = status * DECIMAL + bytes[STATUS_OFFSET + i] - '0';
    }
    return status;
  }

  private void readStatusLine() throws MalformedResponseException {
    if (!isStatusLineAt(0) || status() > LAST_STATUS) {
      throw malformed(ResponseFault.STATUS_LINE);
    }
    requireNoStatusLineFrom(1);
    int end = HeadFields.textEnd(bytes, STATUS_LINE_START_BYTES - 1);
    if (bytes[end] != '\r' || end + LINE_END_BYTES != length) {
      throw malformed(ResponseFault.STATUS_LINE);
    }
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

  private void requireNoStatusLineFrom(int from) throws MalformedResponseException {
    for (int i = from; i + STATUS_LINE_START_BYTES <= length; i++) {
      if (bytes[i] == PROTOCOL[0] && isStatusLineAt(i)) {
        throw malformed(ResponseFault.STATUS_LINE_WITHIN_HEAD);
      }
    }
  }

  private void requireConsistentLength() throws MalformedResponseException {
    boolean both = fields.isChunked() && fields.hasContentLength();
    boolean chunkedBeforeChunks = fields.isChunked() && bytes[MINOR_VERSION_OFFSET] == '0';
    // Decoders differ on the body of one, which a sender must not give (RFC 9110, 15.3.6).
    boolean bodyOfReset =
        status() == RESET_CONTENT && (fields.isChunked() || fields.contentLength() > 0);
    if (both || chunkedBeforeChunks || bodyOfReset) {
      throw malformed(ResponseFault.BODY_LENGTH);
    }
    if (status() == SWITCHING_PROTOCOLS) {
      throw malformed(ResponseFault.STATUS_LINE);
    }
  }

  private MalformedResponseException malformed(ResponseFault fault) {
    return new MalformedResponseException(fault, Excerpt.of(bytes, length));
  }
}

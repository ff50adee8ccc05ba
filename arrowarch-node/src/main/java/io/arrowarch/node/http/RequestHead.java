package io.arrowarch.node.http;

import java.nio.charset.StandardCharsets;

/** The head of a request; strict as {@link HeadFields} is. */
final class RequestHead {
  private static final byte[] PROTOCOL = " HTTP/1.".getBytes(StandardCharsets.US_ASCII);
  private static final byte FIRST_OF_TARGET = 0x21;
  private static final byte LAST_OF_TARGET = 0x7e;

  private final HeadFields fields;
  private final boolean persistentByDefault;

  private RequestHead(HeadFields fields, boolean persistentByDefault) {
    this.fields = fields;
    this.persistentByDefault = persistentByDefault;
  }

  /**
   * Reads a head.
   *
   * @param length of the head in the array, with the empty line that ends it
   */
  static RequestHead parse(byte[] bytes, int length) throws MalformedRequestException {
    int minor = minorVersionOffset(bytes, length);
    try {
      HeadFields fields = HeadFields.parse(bytes, minor + 1 + 2, length);
      boolean persistent = bytes[minor] == '1';
      if (fields.isChunked() && !persistent) {
        throw new MalformedRequestException("chunks in HTTP/1.0", Excerpt.of(bytes, length));
      }
      return new RequestHead(fields, persistent);
    } catch (MalformedResponseException e) {
      throw new MalformedRequestException(e);
    }
  }

  /** Checks the request line; returns where the minor version stands. */
  private static int minorVersionOffset(byte[] bytes, int length) throws MalformedRequestException {
    int methodEnd = 0;
    while (ByteClasses.isToken(bytes[methodEnd])) {
      methodEnd++;
    }
    int target = methodEnd + 1;
    int targetEnd = target;
    while (bytes[targetEnd] >= FIRST_OF_TARGET && bytes[targetEnd] <= LAST_OF_TARGET) {
      targetEnd++;
    }
    int minor = targetEnd + PROTOCOL.length;
    boolean valid =
        methodEnd > 0
            && bytes[methodEnd] == ' '
            && targetEnd > target
            && minor + 2 < length
            && isProtocolAt(bytes, targetEnd)
            && (bytes[minor] == '0' || bytes[minor] == '1')
            && bytes[minor + 1] == '\r';
    if (!valid) {
      throw new MalformedRequestException("request line", Excerpt.of(bytes, length));
    }
    return minor;
  }

  private static boolean isProtocolAt(byte[] bytes, int start) {
    for (int i = 0; i < PROTOCOL.length; i++) {
      if (bytes[start + i] != PROTOCOL[i]) {
        return false;
      }
    }
    return true;
  }

  /** The body; one in chunks if the fields also give a length (RFC 9112, 6.3). */
  BodyFraming body() {
    return fields.isChunked()
        ? BodyFraming.inMergedChunks()
        : BodyFraming.ofLength(Math.max(0, fields.contentLength()));
  }

  /** Whether both a length and chunks are given, so that a recipient before may have read less. */
  boolean hasAmbiguousLength() {
    return fields.isChunked() && fields.hasContentLength();
  }

  /** Whether no request follows this one. */
  boolean isLast() {
    boolean persistent = persistentByDefault || fields.hasConnectionOption("keep-alive");
    return hasAmbiguousLength() || !persistent || fields.hasConnectionOption("close");
  }
}

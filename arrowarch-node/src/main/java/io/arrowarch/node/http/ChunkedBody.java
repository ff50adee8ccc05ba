package io.arrowarch.node.http;

import java.nio.charset.StandardCharsets;

/**
 * Follows a body in chunks to its end (RFC 9112, 7.1). Sizes are hexadecimal digits and nothing
 * else; extensions and trailers are bounded.
 */
final class ChunkedBody {
  private static final int MAXIMUM_LINE_BYTES = 256;
  private static final int MAXIMUM_TRAILER_BYTES = 8 << 10;
  private static final int MAXIMUM_SIZE_DIGITS = 15;

  /** The HTTP library keeps sizes in 32 bits and takes a greater one for another. */
  private static final long MAXIMUM_SIZE = Integer.MAX_VALUE;
  private static final int HEXADECIMAL = 16;
  private static final byte[] LINE_END = "\r\n".getBytes(StandardCharsets.US_ASCII);

  private final LineBytes line = new LineBytes(MAXIMUM_LINE_BYTES);
  private Part part = Part.SIZE;
  private long dataLeft;
  private int trailerBytes;

  private enum Part {
    SIZE,
    DATA,
    DATA_END,
    TRAILER,
    ENDED
  }

  boolean hasEnded() {
    return part == Part.ENDED;
  }

  /** Bytes of data that may be taken as they are; 0 when the next byte belongs to the framing. */
  long dataLeft() {
    return part == Part.DATA ? dataLeft : 0;
  }

  /** Takes bytes of data, not more than are left. */
  void onData(long bytes) {
    dataLeft -= bytes;
    if (dataLeft == 0) {
      part = Part.DATA_END;
    }
  }

  /** Takes a byte of the framing. */
  void onFraming(byte value) throws MalformedResponseException {
    if (!line.add(value)) {
      throw malformed();
    }
    if (part == Part.DATA_END) {
      onDataEnd();
    } else if (line.endsWith(LINE_END)) {
      onLine();
    } else if (value != '\r' && !ByteClasses.isText(value)) {
      throw malformed();
    }
  }

  private void onDataEnd() throws MalformedResponseException {
    if (line.array()[line.length() - 1] != LINE_END[line.length() - 1]) {
      throw malformed();
    }
    if (line.length() == LINE_END.length) {
      line.clear();
      part = Part.SIZE;
    }
  }

  private void onLine() throws MalformedResponseException {
    if (part == Part.SIZE) {
      onSize();
    } else {
      onTrailer();
    }
    line.clear();
  }

  private void onSize() throws MalformedResponseException {
    int digits = 0;
    long size = 0;
    int digit = Character.digit(line.array()[0], HEXADECIMAL);
    while (digit >= 0) {
      size = size * HEXADECIMAL + digit;
      digits++;
      digit = Character.digit(line.array()[digits], HEXADECIMAL);
    }
    byte after = line.array()[digits];
    boolean endsLine = after == '\r' && digits + LINE_END.length == line.length();
    boolean readable = digits > 0 && digits <= MAXIMUM_SIZE_DIGITS && size <= MAXIMUM_SIZE;
    if (!readable || (!endsLine && after != ';')) {
      throw malformed();
    }
    requireSingleLineEnd();
    dataLeft = size;
    part = size == 0 ? Part.TRAILER : Part.DATA;
  }

  private void onTrailer() throws MalformedResponseException {
    if (line.length() == LINE_END.length) {
      part = Part.ENDED;
      return;
    }
    int colon = 0;
    while (ByteClasses.isToken(line.array()[colon])) {
      colon++;
    }
    trailerBytes += line.length();
    if (colon == 0 || line.array()[colon] != ':' || trailerBytes > MAXIMUM_TRAILER_BYTES) {
      throw malformed();
    }
    requireSingleLineEnd();
  }

  private void requireSingleLineEnd() throws MalformedResponseException {
    for (int i = 0; i < line.length() - LINE_END.length; i++) {
      if (line.array()[i] == '\r') {
        throw malformed();
      }
    }
  }

  private MalformedResponseException malformed() {
    return new MalformedResponseException(ResponseFault.CHUNK, line.excerpt());
  }
}

package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.nio.charset.StandardCharsets;
import java.util.function.IntSupplier;

/**
 * Follows the bytes of a caller from request to request. A head is given out only once it is whole
 * and well-formed.
 */
final class RequestFraming {
  private static final byte[] HEAD_END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] LINE_END = "\r\n".getBytes(StandardCharsets.US_ASCII);

  /** What the decoder behind takes. */
  static final int LONGEST_HEAD_BYTES = 96 << 10;

  /** Makes the HTTP library end the connection with its answer. */
  private static final byte[] CLOSE =
      "Connection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final IntSupplier maximumHeadBytes;
  private final LineBytes head = new LineBytes(LONGEST_HEAD_BYTES);
  private Part part = Part.HEAD;
  private BodyFraming body = BodyFraming.ofLength(0);
  private boolean last;
  private byte previous = '\n';

  private enum Part {
    HEAD,
    BODY,
    /** No request follows. */
    ENDED
  }

  /**
   * Creates a reader before its first request.
   *
   * @param maximumHeadBytes of a request, asked again while a head is read; at most {@link
   *     #LONGEST_HEAD_BYTES}
   */
  RequestFraming(IntSupplier maximumHeadBytes) {
    this.maximumHeadBytes = maximumHeadBytes;
  }

  /** Whether the bytes that are next belong to a request whose head was given out. */
  boolean isWithinBody() {
    return part == Part.BODY;
  }

  /** Bytes that are kept of an unfinished head, beyond those that each connection keeps. */
  int keptBytes() {
    return head.bytesBeyondUsual();
  }

  /** Whether a head has begun and is not whole. */
  boolean isWithinHead() {
    return part == Part.HEAD && head.length() > 0;
  }

  /** Whether every byte that still comes is to be thrown away. */
  boolean hasEnded() {
    return part == Part.ENDED;
  }

  /**
   * Takes bytes up to the end of the next piece of a request.
   *
   * @return the piece, which the caller owns; empty when more bytes are needed first
   */
  ByteBuf next(ByteBuf in) throws MalformedRequestException, TooLongHttpHeaderException {
    if (part == Part.HEAD) {
      return nextHead(in);
    }
    try {
      ByteBuf piece = body.next(in);
      endBodyIfWhole();
      return piece;
    } catch (MalformedResponseException e) {
      throw new MalformedRequestException(e);
    }
  }

  private ByteBuf nextHead(ByteBuf in)
      throws MalformedRequestException, TooLongHttpHeaderException {
    int maximum = maximumHeadBytes.getAsInt();
    while (in.isReadable()) {
      byte value = in.readByte();
      if (head.length() >= maximum || !head.add(value)) {
        throw new TooLongHttpHeaderException("the head is longer than " + head.length());
      }
      requireTextOrLineEnd(value);
      previous = value;
      if (value == '\n' && head.length() == LINE_END.length) {
        // An empty line before a request (RFC 9112, 2.2).
        head.clear();
      } else if (value == '\n' && head.endsWith(HEAD_END)) {
        return onWholeHead();
      }
    }
    return Unpooled.EMPTY_BUFFER;
  }

  private void requireTextOrLineEnd(byte value) throws MalformedRequestException {
    boolean valid = previous == '\r' ? value == '\n' : value == '\r' || ByteClasses.isText(value);
    if (!valid) {
      throw new MalformedRequestException("byte in a head", head.excerpt());
    }
  }

  private ByteBuf onWholeHead() throws MalformedRequestException {
    RequestHead parsed = RequestHead.parse(head.array(), head.length());
    int ownBytes = head.length();
    ByteBuf whole =
        parsed.hasAmbiguousLength()
            ? Unpooled.copiedBuffer(
                Unpooled.wrappedBuffer(head.array(), 0, ownBytes - LINE_END.length),
                Unpooled.wrappedBuffer(CLOSE))
            : Unpooled.copiedBuffer(head.array(), 0, ownBytes);
    head.clear();
    last = parsed.isLast();
    body = parsed.body();
    part = Part.BODY;
    endBodyIfWhole();
    return whole;
  }

  private void endBodyIfWhole() {
    if (body.hasEnded()) {
      part = last ? Part.ENDED : Part.HEAD;
    }
  }
}

package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Follows the bytes that a peer sends on one connection from response to response, so that for each
 * byte it is known to which request's response it belongs. A head is given out only once it is
 * whole and well-formed, and interim responses (1xx) not at all. One request at a time.
 */
final class ResponseFraming {
  private static final int MAXIMUM_HEAD_BYTES = 16 << 10;
  private static final int MAXIMUM_INTERIM = 8;
  private static final byte[] HEAD_END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final LineBytes head = new LineBytes(MAXIMUM_HEAD_BYTES);
  private Part part = Part.NONE;
  private boolean onlyHead;
  private boolean tunnel;
  private int interim;
  private BodyFraming body = BodyFraming.ofLength(0);

  private enum Part {
    /** No response is awaited. */
    NONE,
    HEAD,
    BODY,
    BODY_UNTIL_CLOSE
  }

  /**
   * Notes that a request is written, whose response is next.
   *
   * @param method of the request
   */
  void onRequest(String method) {
    part = Part.HEAD;
    onlyHead = method.equals("HEAD");
    tunnel = method.equals("CONNECT");
    interim = 0;
    head.clear();
  }

  /** Whether every byte of the response to the last request has come. */
  boolean awaitsNothing() {
    return part == Part.NONE;
  }

  /** Whether the connection may end here without cutting off a head. */
  boolean mayEndHere() {
    return part != Part.HEAD || head.length() == 0;
  }

  /** The bytes of a head that is not whole, shortened and escaped. */
  String incompleteHead() {
    return head.excerpt();
  }

  /**
   * Takes bytes up to the end of the next piece of a response.
   *
   * @return the piece, which the caller owns; empty when more bytes are needed first
   */
  ByteBuf next(ByteBuf in) throws MalformedResponseException {
    return switch (part) {
      case NONE -> throw unrequested(in);
      case HEAD -> nextHead(in);
      case BODY -> nextOfBody(in);
      case BODY_UNTIL_CLOSE -> in.readRetainedSlice(in.readableBytes());
    };
  }

  private static MalformedResponseException unrequested(ByteBuf in) {
    return new MalformedResponseException(ResponseFault.UNREQUESTED, excerpt(in));
  }

  /** The next bytes, shortened and escaped. */
  static String excerpt(ByteBuf in) {
    byte[] bytes = new byte[in.readableBytes()];
    in.getBytes(in.readerIndex(), bytes);
    return Excerpt.of(bytes, bytes.length);
  }

  private ByteBuf nextHead(ByteBuf in) throws MalformedResponseException {
    while (in.isReadable()) {
      byte value = in.readByte();
      if (!head.add(value)) {
        throw new MalformedResponseException(ResponseFault.LONG_HEAD, head.excerpt());
      }
      if (value == '\n' && head.endsWith(HEAD_END)) {
        return onWholeHead();
      }
    }
    return Unpooled.EMPTY_BUFFER;
  }

  private ByteBuf onWholeHead() throws MalformedResponseException {
    ResponseHead parsed = ResponseHead.parse(head.array(), head.length());
    if (parsed.isInterim()) {
      return dropInterim();
    }
    if (tunnel) {
      throw new MalformedResponseException(ResponseFault.STATUS_LINE, head.excerpt());
    }
    ByteBuf whole = Unpooled.copiedBuffer(head.array(), 0, head.length());
    head.clear();
    if (onlyHead || parsed.isWithoutBody()) {
      part = Part.NONE;
    } else if (parsed.endsWithConnection()) {
      part = Part.BODY_UNTIL_CLOSE;
    } else {
      body =
          parsed.isChunked()
              ? BodyFraming.inChunks()
              : BodyFraming.ofLength(parsed.contentLength());
      part = body.hasEnded() ? Part.NONE : Part.BODY;
    }
    return whole;
  }

  private ByteBuf dropInterim() throws MalformedResponseException {
    interim++;
    if (interim > MAXIMUM_INTERIM) {
      throw new MalformedResponseException(ResponseFault.INTERIM_RESPONSES, head.excerpt());
    }
    head.clear();
    return Unpooled.EMPTY_BUFFER;
  }

  private ByteBuf nextOfBody(ByteBuf in) throws MalformedResponseException {
    ByteBuf piece = body.next(in);
    if (body.hasEnded()) {
      part = Part.NONE;
    }
    return piece;
  }
}

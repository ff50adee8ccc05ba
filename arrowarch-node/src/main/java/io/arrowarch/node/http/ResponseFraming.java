package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Follows the bytes that a peer sends on one connection from response to response, so that for each
 * byte it is known to which request's response it belongs. A head is given out only once it is
 * whole and well-formed, and interim responses (1xx) not at all. One request at a time.
 */
final class ResponseFraming {
  /** Bounds what a connection holds of a head; the decoder behind takes as much. */
  static final int MAXIMUM_HEAD_BYTES = 16 << 10;

  /** A peer that sends more before an answer never answers. */
  private static final int MAXIMUM_INTERIM = 8;

  private final LineBytes head = new LineBytes(MAXIMUM_HEAD_BYTES);
  private ResponseHead parsed = new ResponseHead(head);
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
    beginHead();
  }

  private void beginHead() {
    head.clear();
    parsed = new ResponseHead(head);
  }

  /** Whether every byte of the response to the last request has come. */
  boolean awaitsNothing() {
    return part == Part.NONE;
  }

  /** Whether the response that is being read ends with its connection. */
  boolean endsWithConnection() {
    return part == Part.BODY_UNTIL_CLOSE;
  }

  /** Whether the status line, but not the whole of a head, has come. */
  boolean isWithinHead() {
    return part == Part.HEAD && parsed.hasStatusLine();
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
    byte[] bytes = new byte[Math.min(in.readableBytes(), Excerpt.MAXIMUM_BYTES)];
    in.getBytes(in.readerIndex(), bytes);
    return Excerpt.of(bytes, bytes.length);
  }

  private ByteBuf nextHead(ByteBuf in) throws MalformedResponseException {
    while (in.isReadable()) {
      int lineEnd = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
      int bytes = lineEnd < 0 ? in.readableBytes() : lineEnd + 1 - in.readerIndex();
      if (!head.add(in, bytes)) {
        throw new MalformedResponseException(ResponseFault.LONG_HEAD, head.excerpt());
      }
      if (lineEnd >= 0 && parsed.onLine()) {
        return onWholeHead();
      }
    }
    parsed.requirePossibleStart();
    return Unpooled.EMPTY_BUFFER;
  }

  private ByteBuf onWholeHead() throws MalformedResponseException {
    if (parsed.isInterim()) {
      return dropInterim();
    }
    if (tunnel) {
      throw new MalformedResponseException(ResponseFault.STATUS_LINE, head.excerpt());
    }
    ByteBuf whole = Unpooled.copiedBuffer(head.array(), 0, head.length());
    beginBody();
    beginHead();
    return whole;
  }

  private void beginBody() {
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
  }

  private ByteBuf dropInterim() throws MalformedResponseException {
    interim++;
    if (interim > MAXIMUM_INTERIM) {
      throw new MalformedResponseException(ResponseFault.INTERIM_RESPONSES, head.excerpt());
    }
    beginHead();
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

package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;

/** Follows a body to its end. */
final class BodyFraming {
  private final ChunkedBody chunks = new ChunkedBody();
  private final boolean chunked;
  private long left;

  private BodyFraming(boolean chunked, long left) {
    this.chunked = chunked;
    this.left = left;
  }

  static BodyFraming ofLength(long bytes) {
    return new BodyFraming(false, bytes);
  }

  static BodyFraming inChunks() {
    return new BodyFraming(true, 0);
  }

  boolean hasEnded() {
    return chunked ? chunks.hasEnded() : left == 0;
  }

  /**
   * Takes bytes up to the end of the body.
   *
   * @return these bytes, which the caller owns
   */
  ByteBuf next(ByteBuf in) throws MalformedResponseException {
    return chunked ? nextOfChunks(in) : nextOfLength(in);
  }

  private ByteBuf nextOfLength(ByteBuf in) {
    int bytes = (int) Math.min(left, in.readableBytes());
    left -= bytes;
    return in.readRetainedSlice(bytes);
  }

  private ByteBuf nextOfChunks(ByteBuf in) throws MalformedResponseException {
    int start = in.readerIndex();
    while (in.isReadable() && !chunks.hasEnded()) {
      int data = (int) Math.min(chunks.dataLeft(), in.readableBytes());
      if (data > 0) {
        in.skipBytes(data);
        chunks.onData(data);
      } else {
        chunks.onFraming(in.readByte());
      }
    }
    return in.retainedSlice(start, in.readerIndex() - start);
  }
}

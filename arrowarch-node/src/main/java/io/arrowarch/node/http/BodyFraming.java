package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;
import java.util.Optional;

/** Follows a body to its end. */
final class BodyFraming {
  private final Optional<ChunkedBody> chunks;
  private long left;

  private BodyFraming(Optional<ChunkedBody> chunks, long left) {
    this.chunks = chunks;
    this.left = left;
  }

  static BodyFraming ofLength(long bytes) {
    return new BodyFraming(Optional.empty(), bytes);
  }

  static BodyFraming inChunks() {
    return new BodyFraming(Optional.of(new ChunkedBody()), 0);
  }

  boolean hasEnded() {
    return chunks.map(ChunkedBody::hasEnded).orElse(left == 0);
  }

  /**
   * Takes bytes up to the end of the body.
   *
   * @return these bytes, which the caller owns
   */
  ByteBuf next(ByteBuf in) throws MalformedResponseException {
    return chunks.isPresent() ? nextOfChunks(chunks.get(), in) : nextOfLength(in);
  }

  private ByteBuf nextOfLength(ByteBuf in) {
    int bytes = (int) Math.min(left, in.readableBytes());
    left -= bytes;
    return in.readRetainedSlice(bytes);
  }

  private static ByteBuf nextOfChunks(ChunkedBody chunks, ByteBuf in)
      throws MalformedResponseException {
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

package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;

/** A body in chunks that are passed on as they are. */
final class BodyInChunks implements BodyFraming {
  private final ChunkedBody chunks = new ChunkedBody();

  @Override
  public boolean hasEnded() {
    return chunks.hasEnded();
  }

  @Override
  public ByteBuf next(ByteBuf in) throws MalformedResponseException {
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

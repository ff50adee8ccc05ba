package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * A body in chunks, of which those that come at once are passed on as one: a decoder takes much
 * longer for a chunk than for its bytes. Extensions and trailers are dropped.
 */
final class BodyInMergedChunks implements BodyFraming {
  private static final byte[] LINE_END = "\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final ChunkedBody chunks = new ChunkedBody();

  @Override
  public boolean hasEnded() {
    return chunks.hasEnded();
  }

  @Override
  public ByteBuf next(ByteBuf in) throws MalformedResponseException {
    ByteBuf data = Unpooled.EMPTY_BUFFER;
    try {
      while (in.isReadable() && !chunks.hasEnded()) {
        int bytes = (int) Math.min(chunks.dataLeft(), in.readableBytes());
        if (bytes > 0) {
          data = append(data, in, bytes);
          chunks.onData(bytes);
        } else {
          chunks.onFraming(in.readByte());
        }
      }
    } catch (MalformedResponseException e) {
      data.release();
      throw e;
    }
    return asChunk(data);
  }

  /** A single chunk is not copied. */
  private static ByteBuf append(ByteBuf data, ByteBuf in, int bytes) {
    if (!data.isReadable()) {
      return in.readRetainedSlice(bytes);
    }
    if (data.isWritable(bytes)) {
      return data.writeBytes(in, bytes);
    }
    ByteBuf copy = Unpooled.buffer(data.readableBytes() + in.readableBytes());
    copy.writeBytes(data).writeBytes(in, bytes);
    data.release();
    return copy;
  }

  private ByteBuf asChunk(ByteBuf data) {
    ByteBuf end = Unpooled.wrappedBuffer(chunks.hasEnded() ? LAST_CHUNK : new byte[0]);
    if (!data.isReadable()) {
      return end;
    }
    String size = Integer.toHexString(data.readableBytes()) + "\r\n";
    return Unpooled.wrappedBuffer(
        Unpooled.wrappedBuffer(size.getBytes(StandardCharsets.US_ASCII)),
        data,
        Unpooled.wrappedBuffer(LINE_END),
        end);
  }
}

package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;

/** A body whose head tells its length. */
final class BodyOfLength implements BodyFraming {
  private long left;

  BodyOfLength(long bytes) {
    left = bytes;
  }

  @Override
  public boolean hasEnded() {
    return left == 0;
  }

  @Override
  public ByteBuf next(ByteBuf in) {
    int bytes = (int) Math.min(left, in.readableBytes());
    left -= bytes;
    return in.readRetainedSlice(bytes);
  }
}

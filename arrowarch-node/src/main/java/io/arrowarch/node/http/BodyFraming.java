package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;

/** Follows a body to its end. */
interface BodyFraming {
  /** A body whose length is known. */
  static BodyFraming ofLength(long bytes) {
    return new BodyOfLength(bytes);
  }

  /** A body in chunks, which are passed on as they are. */
  static BodyFraming inChunks() {
    return new BodyInChunks();
  }

  /** A body in chunks, which are passed on in larger ones. */
  static BodyFraming inMergedChunks() {
    return new BodyInMergedChunks();
  }

  boolean hasEnded();

  /**
   * Takes bytes up to the end of the body.
   *
   * @return the bytes to pass on, which the caller owns; empty when more bytes are needed first
   */
  ByteBuf next(ByteBuf in) throws MalformedResponseException;
}

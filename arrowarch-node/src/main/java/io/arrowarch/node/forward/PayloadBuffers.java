package io.arrowarch.node.forward;

import io.arrowarch.core.forward.Payload;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;

/** Turns bodies into what is written to sockets. */
final class PayloadBuffers {
  private PayloadBuffers() {}

  /** The bytes of a body, not copied; the buffer must not be changed. */
  static Buffer of(Payload payload) {
    return BufferInternal.buffer(Unpooled.wrappedBuffer(payload.bytes()));
  }
}

package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Stands before the HTTP decoder of a connection that requests are sent on, and reports what is no
 * response to one of them.
 */
final class ResponseGuard extends ChannelInboundHandlerAdapter {
  private final ResponseListener listener;
  private final ResponseFraming framing = new ResponseFraming();
  private boolean failed;

  private ResponseGuard(ResponseListener listener) {
    this.listener = listener;
  }

  /** Adds a guard to a connection on which nothing has been sent. */
  static void install(ChannelPipeline pipeline, ResponseListener listener) {
    ResponseGuard guard = new ResponseGuard(listener);
    pipeline.addFirst(guard);
    pipeline.addAfter(
        pipeline.context(HttpClientCodec.class).name(), null, guard.new RequestObserver());
  }

  /** Sees requests before they are encoded. */
  private final class RequestObserver extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (message instanceof HttpRequest request) {
        framing.onRequest(request.method().name());
      }
      ChannelFuture unused = context.write(message, promise);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf in = ((ByteBuf) message).duplicate();
    try {
      while (in.isReadable() && !failed) {
        framing.next(in).release();
      }
    } catch (MalformedResponseException e) {
      failed = true;
      listener.onMalformed(e, ((ByteBuf) message).readableBytes());
    }
    context.fireChannelRead(message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    if (!failed && !framing.mayEndHere()) {
      failed = true;
      listener.onMalformed(
          new MalformedResponseException(ResponseFault.INCOMPLETE_HEAD, framing.incompleteHead()),
          0);
    }
    super.channelInactive(context);
  }
}

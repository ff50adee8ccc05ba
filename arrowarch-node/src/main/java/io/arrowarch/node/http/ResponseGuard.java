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
import io.netty.util.ReferenceCountUtil;

/**
 * Stands before the HTTP decoder of a connection that requests are sent on, and lets through what
 * is a response to one of them. Anything else closes the connection before it is decoded.
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
      if (failed) {
        ReferenceCountUtil.release(message);
        promise.tryFailure(
            new MalformedResponseException(ResponseFault.UNREQUESTED, "the connection is closed"));
        return;
      }
      if (message instanceof HttpRequest request) {
        framing.onRequest(request.method().name());
      }
      ChannelFuture unused = context.write(message, promise);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf in = (ByteBuf) message;
    try {
      while (in.isReadable() && !failed) {
        readPiece(context, in);
      }
    } finally {
      in.release();
    }
  }

  private void readPiece(ChannelHandlerContext context, ByteBuf in) {
    int bytes = in.readableBytes();
    try {
      ByteBuf piece = framing.next(in);
      if (framing.awaitsNothing() && in.isReadable()) {
        // Before the piece is given out: what it ends may use the connection again at once.
        failed = true;
        listener.onUnusable();
        context.fireChannelRead(piece);
        fail(
            context,
            new MalformedResponseException(ResponseFault.SURPLUS, ResponseFraming.excerpt(in)),
            in.readableBytes());
      } else if (piece.isReadable()) {
        context.fireChannelRead(piece);
      }
    } catch (MalformedResponseException e) {
      fail(context, e, bytes);
    }
  }

  private void fail(ChannelHandlerContext context, MalformedResponseException e, int bytes) {
    failed = true;
    listener.onUnusable();
    listener.onMalformed(e, bytes);
    context.fireExceptionCaught(e);
    ChannelFuture unused = context.close();
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

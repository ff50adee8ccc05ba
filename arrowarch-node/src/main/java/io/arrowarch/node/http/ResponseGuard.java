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
      boolean begins = message instanceof HttpRequest;
      if (failed || (begins && !framing.awaitsNothing())) {
        refuse(context, message, promise);
        return;
      }
      if (begins) {
        framing.onRequest(((HttpRequest) message).method().name());
      }
      ChannelFuture unused = context.write(message, promise);
    }
  }

  /**
   * The connection is not one on which nothing is awaited. Where the decoder has seen the end of a
   * response before this reader, they disagree, and nothing more may be believed.
   */
  private void refuse(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    ReferenceCountUtil.release(message);
    MalformedResponseException cause =
        new MalformedResponseException(
            ResponseFault.UNFINISHED, "a request follows an unfinished response");
    promise.tryFailure(cause);
    if (!failed) {
      fail(context, cause, 0);
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
        if (framing.endsWithConnection()) {
          // What ends with the connection is told before the connection's end is.
          listener.onUnusable();
        }
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

  /** A peer that stops within a head has sent no answer, which is no sign that it has crashed. */
  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    if (!failed && framing.isWithinHead()) {
      failed = true;
      MalformedResponseException cut =
          new MalformedResponseException(ResponseFault.INCOMPLETE_HEAD, framing.incompleteHead());
      listener.onMalformed(cut, 0);
      context.fireExceptionCaught(cut);
    }
    super.channelInactive(context);
  }
}

package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Stands before the HTTP decoder of a caller's connection and lets through what is well-formed. The
 * first fault reaches the HTTP server in the form in which its decoder reports faults, so that it
 * is answered in its turn and ends the connection.
 */
public final class RequestGuard extends ChannelInboundHandlerAdapter {
  private final RequestFraming framing;
  private boolean failed;

  private RequestGuard(int maximumHeadBytes) {
    framing = new RequestFraming(maximumHeadBytes);
  }

  /**
   * Guards a connection before its first request.
   *
   * @param connection of HTTP/1.1, from a server's connection handler
   * @param maximumHeadBytes of a request
   */
  public static void install(HttpConnection connection, int maximumHeadBytes) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
    pipeline.addBefore(
        pipeline.context(HttpRequestDecoder.class).name(),
        null,
        new RequestGuard(maximumHeadBytes));
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf in = (ByteBuf) message;
    try {
      while (in.isReadable() && !failed && !framing.hasEnded()) {
        readPiece(context, in);
      }
    } finally {
      in.release();
    }
  }

  private void readPiece(ChannelHandlerContext context, ByteBuf in) {
    try {
      ByteBuf piece = framing.next(in);
      if (piece.isReadable()) {
        context.fireChannelRead(piece);
      } else {
        piece.release();
      }
    } catch (MalformedRequestException | TooLongHttpHeaderException e) {
      failed = true;
      report(context, e);
    }
  }

  private void report(ChannelHandlerContext context, Exception fault) {
    HttpObject invalid =
        framing.isWithinBody()
            ? new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER)
            : new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_0, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
    invalid.setDecoderResult(DecoderResult.failure(fault));
    context.pipeline().context(HttpRequestDecoder.class).fireChannelRead(invalid);
  }
}

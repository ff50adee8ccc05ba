package io.arrowarch.node.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A client's connection in memory, with the handlers of one to a server. */
final class GuardedChannel {
  private final EmbeddedChannel channel = new EmbeddedChannel(new HttpClientCodec());
  private final List<ReceivedResponse> whole = new ArrayList<>();
  private final StringBuilder body = new StringBuilder();
  private Optional<HttpResponse> head = Optional.empty();
  private Optional<ResponseFault> fault = Optional.empty();
  private boolean failed;

  GuardedChannel() {
    ResponseGuard.install(
        channel.pipeline(),
        new ResponseListener() {
          @Override
          public void onMalformed(MalformedResponseException malformed, int bytes) {
            fault = Optional.of(malformed.fault());
          }
        });
    channel.pipeline().addLast(new Collector());
  }

  /** Collects what the decoder gives out. */
  private final class Collector extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      try {
        failed |= ((DecoderResultProvider) message).decoderResult().isFailure();
        collect(message);
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      failed = true;
    }
  }

  private void collect(Object message) {
    if (message instanceof HttpResponse response) {
      head = Optional.of(response);
      body.setLength(0);
    }
    if (message instanceof HttpContent content) {
      body.append(content.content().toString(StandardCharsets.ISO_8859_1));
    }
    if (message instanceof LastHttpContent && head.isPresent() && !failed) {
      whole.add(received(head.get()));
      head = Optional.empty();
    }
  }

  private ReceivedResponse received(HttpResponse response) {
    List<String> fields = new ArrayList<>();
    response.headers().forEach(field -> fields.add(field.getKey() + ": " + field.getValue()));
    return ReceivedResponse.of(response.status().code(), fields, body.toString());
  }

  /** Writes a request without a body, unless the connection is closed. */
  void request(String method) {
    if (channel.isOpen()) {
      channel.writeOutbound(
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), "/"));
      channel.releaseOutbound();
    }
  }

  /** Lets these bytes come in one packet, unless the connection is closed. */
  void receive(String bytes) {
    if (channel.isOpen() && !bytes.isEmpty()) {
      channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }
  }

  /** The peer ends the connection. */
  void endByPeer() {
    ChannelFuture unused = channel.close();
    channel.finishAndReleaseAll();
  }

  /** Responses that were given out with their end. */
  List<ReceivedResponse> whole() {
    return whole;
  }

  Optional<ResponseFault> fault() {
    return fault;
  }

  /** Whether the connection has failed or ended. */
  boolean hasEnded() {
    return failed || !channel.isOpen();
  }
}

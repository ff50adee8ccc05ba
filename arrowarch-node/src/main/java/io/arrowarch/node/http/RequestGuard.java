package io.arrowarch.node.http;

import io.arrowarch.core.memory.CallerAccount;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.FixedRecvByteBufAllocator;
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
import java.time.Duration;
import java.util.function.IntSupplier;

/**
 * Stands before the HTTP decoder of a caller's connection and lets through what is well-formed, one
 * request at a time: what follows a request waits until it is answered, and is not read on beyond a
 * bound. The first fault reaches the HTTP server in the form in which its decoder reports faults,
 * so that it is answered in its turn and ends the connection.
 *
 * <p>A connection is read once in each turn of the event loop, so that none keeps the others
 * waiting.
 */
public final class RequestGuard extends ChannelInboundHandlerAdapter {
  /** What is read of a connection at once, and the least that is kept behind a request. */
  private static final int READ_BYTES = 16 << 10;

  private final RequestFraming framing;
  private final CallerAccount.Holder holder;
  private ChannelHandlerContext context;

  /** What has come behind a request that is not answered yet. */
  private ByteBuf behind = Unpooled.EMPTY_BUFFER;

  private long behindSinceNanos;
  private long waitedBehindNanos;
  private int keptBytes;
  private long discardedBytes;
  private boolean awaitsHead;
  private long headSinceNanos;
  private boolean answering;
  private boolean discarding;
  private boolean failed;

  private RequestGuard(IntSupplier maximumHeadBytes, CallerAccount.Holder holder) {
    this.framing = new RequestFraming(maximumHeadBytes);
    this.holder = holder;
  }

  /**
   * Guards a connection before its first request.
   *
   * @param connection of HTTP/1.1, from a server's connection handler
   * @param maximumHeadBytes of a request, asked again while a head is read
   * @param holder takes room for what the connection keeps before it is a request
   */
  public static RequestGuard install(
      HttpConnection connection, IntSupplier maximumHeadBytes, CallerAccount.Holder holder) {
    Channel channel = channelOf(connection);
    ChannelPipeline pipeline = channel.pipeline();
    channel
        .config()
        .setRecvByteBufAllocator(new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1));
    RequestGuard guard = new RequestGuard(maximumHeadBytes, holder);
    pipeline.addBefore(pipeline.context(HttpRequestDecoder.class).name(), null, guard);
    return guard;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext removed) {
    dropBehind();
  }

  /** The request that was given out last has its answer, and the next one may begin. */
  public void onAnswered() {
    answering = false;
    if (behind.isReadable()) {
      // In a task of its own: the next request may be answered at once as well.
      context.executor().execute(this::readBehind);
    }
  }

  /** Whether the rest of a head has not come for this long since it began. */
  public boolean hasAwaitedHeadFor(Duration time) {
    return awaitsHead && System.nanoTime() - headSinceNanos >= time.toNanos();
  }

  /** How long the request that was given out last has waited behind another one. */
  public Duration waitedBehind() {
    return Duration.ofNanos(waitedBehindNanos);
  }

  /** Throws away all that still comes: the last request was answered before its end. */
  public void discardRest() {
    discarding = true;
    dropBehind();
    setReading(true);
  }

  /** Bytes thrown away so far. */
  public long discardedBytes() {
    return discardedBytes;
  }

  /** Closes a connection at once, whatever is still to be written. */
  public static void abort(HttpConnection connection) {
    ChannelHandlerContext first = channelOf(connection).pipeline().firstContext();
    // A connection that has been closed has no handlers any more.
    if (first != null) {
      ChannelFuture unused = first.close();
    }
  }

  private static Channel channelOf(HttpConnection connection) {
    return ((ConnectionBase) connection).channel();
  }

  /** Bytes written to the connection that the peer has not taken yet. */
  public long unsentBytes() {
    ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
    // A message that is partly written counts in whole among the pending bytes.
    return unsent == null ? 0 : unsent.totalPendingWriteBytes() - unsent.currentProgress();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf in = (ByteBuf) message;
    try {
      if (discarding) {
        discardedBytes += in.readableBytes();
      } else if (!failed && behind.isReadable()) {
        keepBehind(in);
      } else {
        waitedBehindNanos = 0;
        readRequests(in);
      }
    } finally {
      in.release();
    }
  }

  private void readBehind() {
    ByteBuf in = behind;
    behind = Unpooled.EMPTY_BUFFER;
    waitedBehindNanos = System.nanoTime() - behindSinceNanos;
    long sinceNanos = behindSinceNanos;
    try {
      readRequests(in);
    } finally {
      in.release();
    }
    behindSinceNanos = sinceNanos;
    context.fireChannelReadComplete();
    setReading(behind.readableBytes() < READ_BYTES);
  }

  private void readRequests(ByteBuf in) {
    holder.onProgress(in.readableBytes());
    while (in.isReadable() && !failed && !discarding && !framing.hasEnded()) {
      if (answering && !framing.isWithinBody()) {
        keepBehind(in);
        return;
      }
      readPiece(in);
    }
    if (!failed && !tryKeep(framing.keptBytes())) {
      refuseToKeep();
    }
    awaitHead(!failed && !answering && framing.isWithinHead());
  }

  private void keepBehind(ByteBuf in) {
    int bytes = behind.readableBytes() + in.readableBytes();
    if (!tryKeep(bytes)) {
      refuseToKeep();
      return;
    }
    if (!behind.isReadable()) {
      behindSinceNanos = System.nanoTime();
    }
    ByteBuf kept = Unpooled.buffer(bytes, bytes);
    kept.writeBytes(behind).writeBytes(in);
    behind.release();
    behind = kept;
    setReading(bytes < READ_BYTES);
  }

  private boolean tryKeep(int bytes) {
    if (bytes > keptBytes && !holder.tryTake(bytes - keptBytes)) {
      return false;
    }
    if (bytes < keptBytes) {
      holder.giveBack(keptBytes - bytes);
    }
    keptBytes = bytes;
    return true;
  }

  private void awaitHead(boolean awaits) {
    if (awaits && !awaitsHead) {
      holder.awaitCaller();
      headSinceNanos = System.nanoTime();
    }
    awaitsHead = awaits;
  }

  private void dropBehind() {
    behind.release();
    behind = Unpooled.EMPTY_BUFFER;
  }

  private void refuseToKeep() {
    failed = true;
    dropBehind();
    ChannelFuture unused = context.close();
  }

  /** While a connection is not read its end is not noticed, so that it is read where it can. */
  private void setReading(boolean reads) {
    ChannelConfig config = context.channel().config();
    if (config.isAutoRead() != reads) {
      config.setAutoRead(reads);
      if (!reads) {
        // Meanwhile the system would take as much as it has room for.
        boolean unused = config.setOption(ChannelOption.SO_RCVBUF, READ_BYTES);
      }
    }
  }

  private void readPiece(ByteBuf in) {
    try {
      ByteBuf piece = framing.next(in);
      if (piece.isReadable()) {
        answering = true;
        context.fireChannelRead(piece);
      } else {
        piece.release();
      }
    } catch (MalformedRequestException | TooLongHttpHeaderException e) {
      failed = true;
      report(e);
    }
  }

  private void report(Exception fault) {
    HttpObject invalid =
        framing.isWithinBody()
            ? new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER)
            : new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_0, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
    invalid.setDecoderResult(DecoderResult.failure(fault));
    context.pipeline().context(HttpRequestDecoder.class).fireChannelRead(invalid);
  }
}

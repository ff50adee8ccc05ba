package io.arrowarch.node.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SingleThreadEventLoop;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands on the listening socket of a server and accepts no more while too many connections are
 * open; others wait in the system's queue. Without it a crowd takes all descriptors before the
 * event loop, which decides who has to leave, knows of it.
 */
final class AcceptGate extends ChannelInboundHandlerAdapter {
  private final int maximumConnections;
  private final AtomicInteger open = new AtomicInteger();

  AcceptGate(int maximumConnections) {
    this.maximumConnections = maximumConnections;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    Channel accepted = (Channel) message;
    open.incrementAndGet();
    accepted.closeFuture().addListener(closed -> onClosed(accepted, context.channel()));
    pauseIfFull(context.channel());
    context.fireChannelRead(message);
  }

  /** The descriptor of a closed connection is free after the next poll of its event loop. */
  private void onClosed(Channel closed, Channel listening) {
    if (open.get() < maximumConnections / 2) {
      onFreed(listening);
    } else {
      SingleThreadEventLoop loop = (SingleThreadEventLoop) closed.eventLoop();
      loop.executeAfterEventLoopIteration(() -> loop.execute(() -> onFreed(listening)));
    }
  }

  private void onFreed(Channel listening) {
    open.decrementAndGet();
    resumeIfFree(listening);
  }

  private void pauseIfFull(Channel listening) {
    if (open.get() >= maximumConnections) {
      listening.config().setAutoRead(false);
      // A connection may have been closed meanwhile, on another thread.
      resumeIfFree(listening);
    }
  }

  private void resumeIfFree(Channel listening) {
    if (open.get() < maximumConnections && !listening.config().isAutoRead()) {
      listening.config().setAutoRead(true);
    }
  }
}

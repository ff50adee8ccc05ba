package io.arrowarch.node;

import io.netty.channel.SingleThreadEventLoop;
import io.vertx.core.Context;
import io.vertx.core.internal.ContextInternal;

/**
 * The polls of one event loop. A loop polls its sockets, handles what is readable, runs the tasks
 * that were submitted, and polls again. A task that is submitted by a task runs before the next
 * poll.
 */
final class SocketPolls {
  private final Context context;
  private final SingleThreadEventLoop loop;

  SocketPolls(Context context) {
    this.context = context;
    this.loop = (SingleThreadEventLoop) ((ContextInternal) context).nettyEventLoop();
  }

  /**
   * Runs a task just before the next poll, and another one when all that the poll has found is
   * handled.
   */
  void aroundNext(Runnable before, Runnable after) {
    loop.executeAfterEventLoopIteration(
        () -> {
          before.run();
          context.runOnContext(ignored -> after.run());
        });
  }
}

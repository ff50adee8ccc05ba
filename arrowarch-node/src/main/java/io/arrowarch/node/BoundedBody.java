package io.arrowarch.node;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** Reads the body of a response up to a limit. */
public final class BoundedBody {
  /** Answers of servers. */
  public static final int MAXIMUM_REPLY_BYTES = 8 << 20;

  static final int MAXIMUM_REPORT_BYTES = 64 << 10;

  /** Documents of the platform. */
  public static final int MAXIMUM_DOCUMENT_BYTES = 64 << 20;

  /** How often a body is looked at while nothing of it comes. */
  private static final int CHECKS_EACH_PAUSE = 4;

  private BoundedBody() {}

  /** The replies that are held at the same time take too much memory. */
  public static final class NoRoomException extends Exception {
    private static final long serialVersionUID = 1;

    NoRoomException(long heldBytes) {
      super("unfinished replies take " + heldBytes + " bytes");
    }
  }

  /** The body is longer than the limit. */
  public static final class TooLongException extends Exception {
    private static final long serialVersionUID = 1;

    TooLongException(int limit) {
      super("body is longer than " + limit + " bytes");
    }
  }

  /** Nothing more came of a body for too long. */
  public static final class StalledException extends Exception {
    private static final long serialVersionUID = 1;

    StalledException(Duration longestPause) {
      super("nothing of the body came for " + longestPause);
    }
  }

  /**
   * The whole body; fails and closes the connection when it is longer than the limit, or when
   * nothing of it comes for too long: the time-out of a request ends with the head of its answer.
   *
   * @param longestPause between two pieces of the body
   */
  public static Future<Buffer> read(
      Vertx vertx, HttpClientResponse response, int limit, Duration longestPause) {
    Promise<Buffer> whole = Promise.promise();
    AtomicLong lastNanos = new AtomicLong(System.nanoTime());
    long timer =
        vertx.setPeriodic(
            longestPause.toMillis() / CHECKS_EACH_PAUSE,
            id -> {
              if (System.nanoTime() - lastNanos.get() > longestPause.toNanos()) {
                whole.tryFail(new StalledException(longestPause));
                response.request().reset();
              }
            });
    read(response, limit, ReplyMemory.unlimited(), () -> lastNanos.set(System.nanoTime()))
        .onSuccess(whole::tryComplete)
        .onFailure(whole::tryFail);
    return whole.future().onComplete(ended -> vertx.cancelTimer(timer));
  }

  /** The whole body; fails and closes the connection when it is longer than the limit. */
  public static Future<Buffer> read(HttpClientResponse response, int limit) {
    return read(response, limit, ReplyMemory.unlimited());
  }

  /**
   * The whole body, as {@link #read(HttpClientResponse, int)}; also fails when all unfinished
   * replies together take too much memory.
   */
  public static Future<Buffer> read(HttpClientResponse response, int limit, ReplyMemory memory) {
    return read(response, limit, memory, () -> {});
  }

  private static Future<Buffer> read(
      HttpClientResponse response, int limit, ReplyMemory memory, Runnable onPiece) {
    Promise<Buffer> promise = Promise.promise();
    Buffer body = Buffer.buffer();
    response.handler(
        chunk -> {
          onPiece.run();
          if (promise.future().isComplete()) {
            return;
          }
          if (body.length() + chunk.length() > limit) {
            promise.tryFail(new TooLongException(limit));
            response.request().reset();
          } else if (!memory.tryTake(body.length(), chunk.length())) {
            promise.tryFail(new NoRoomException(memory.heldBytes()));
            response.request().reset();
          } else {
            body.appendBuffer(chunk);
          }
        });
    response.exceptionHandler(promise::tryFail);
    response.endHandler(end -> promise.tryComplete(body));
    return promise.future().onComplete(ended -> memory.release(body.length()));
  }
}

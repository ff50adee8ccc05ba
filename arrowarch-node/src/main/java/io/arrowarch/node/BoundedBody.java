package io.arrowarch.node;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/** Reads the body of a response up to a limit. */
public final class BoundedBody {
  /** Answers of servers. */
  public static final int MAXIMUM_REPLY_BYTES = 8 << 20;

  static final int MAXIMUM_REPORT_BYTES = 64 << 10;

  /** Documents of the platform. */
  public static final int MAXIMUM_DOCUMENT_BYTES = 64 << 20;

  private BoundedBody() {}

  /** The body is longer than the limit. */
  public static final class TooLongException extends Exception {
    private static final long serialVersionUID = 1;

    TooLongException(int limit) {
      super("body is longer than " + limit + " bytes");
    }
  }

  /** The whole body; fails and closes the connection when it is longer than the limit. */
  public static Future<Buffer> read(HttpClientResponse response, int limit) {
    Promise<Buffer> promise = Promise.promise();
    Buffer body = Buffer.buffer();
    response.handler(
        chunk -> {
          if (body.length() + chunk.length() > limit) {
            promise.tryFail(new TooLongException(limit));
            response.request().reset();
          } else {
            body.appendBuffer(chunk);
          }
        });
    response.exceptionHandler(promise::tryFail);
    response.endHandler(end -> promise.tryComplete(body));
    return promise.future();
  }
}

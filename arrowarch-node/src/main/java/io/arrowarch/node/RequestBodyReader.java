package io.arrowarch.node;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.QueryError;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.function.Consumer;

/** Reads request bodies within a size and a time. */
public final class RequestBodyReader {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final Vertx vertx;
  private final int maximumBytes;

  /** Creates a reader of bodies up to a size. */
  public RequestBodyReader(Vertx vertx, int maximumBytes) {
    this.vertx = vertx;
    this.maximumBytes = maximumBytes;
  }

  /** Reads a body and reports once: the whole body, or why it was not taken. */
  public void read(HttpServerRequest request, Consumer<Either<QueryError, Buffer>> sink) {
    new Reading(request, sink).start();
  }

  private final class Reading {
    private final HttpServerRequest request;
    private final Consumer<Either<QueryError, Buffer>> sink;
    private final Buffer body = Buffer.buffer();
    private boolean done;

    Reading(HttpServerRequest request, Consumer<Either<QueryError, Buffer>> sink) {
      this.request = request;
      this.sink = sink;
    }

    void start() {
      long timer =
          vertx.setTimer(
              TIMEOUT.toMillis(),
              id -> refuse(ErrorKind.REQUEST_TIMEOUT, "the body did not arrive in time"));
      request.handler(this::onChunk);
      request.exceptionHandler(
          failure -> {
            vertx.cancelTimer(timer);
            refuse(ErrorKind.MALFORMED_REQUEST, "the body cannot be read");
          });
      request.endHandler(
          end -> {
            vertx.cancelTimer(timer);
            finish(Either.right(body));
          });
    }

    private void onChunk(Buffer chunk) {
      if (body.length() + chunk.length() > maximumBytes) {
        refuse(ErrorKind.BODY_TOO_LARGE, "the body is longer than " + maximumBytes + " bytes");
      } else if (!done) {
        body.appendBuffer(chunk);
      }
    }

    private void refuse(ErrorKind kind, String detail) {
      finish(Either.left(QueryError.of(kind, detail)));
    }

    private void finish(Either<QueryError, Buffer> result) {
      if (!done) {
        done = true;
        sink.accept(result);
      }
    }
  }
}

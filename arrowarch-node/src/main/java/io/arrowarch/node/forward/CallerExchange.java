package io.arrowarch.node.forward;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.forward.ForwardHandle;
import io.arrowarch.core.forward.ForwardedAnswer;
import io.arrowarch.core.forward.ForwardedRequest;
import io.arrowarch.core.forward.ForwardingRouter;
import io.arrowarch.core.forward.HeaderField;
import io.arrowarch.core.forward.Payload;
import io.arrowarch.core.route.Route;
import io.arrowarch.node.EventLoopDriver;
import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** One request of a caller and its answer, which is written whole and with its length. */
final class CallerExchange {
  /** Answers up to this size are written whatever room there is. */
  private static final int SMALL_ANSWER_BYTES = 16 << 10;

  private static final double MILLIS_PER_SECOND = 1e3;
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final EventLoopDriver driver;
  private final ForwardingRouter router;
  private final CallerCodec codec;
  private final ForwardMetrics metrics;
  private final CallerConnection connection;
  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private final long startNanos = System.nanoTime();
  private final Duration unread;
  private ForwardHandle handle = () -> {};
  private Optional<BodyCollector> body = Optional.empty();
  private long bodyTimer = NO_TIMER;
  private boolean answered;

  CallerExchange(
      Vertx vertx,
      EventLoopDriver driver,
      ForwardingRouter router,
      CallerCodec codec,
      ForwardMetrics metrics,
      CallerConnection connection,
      HttpServerRequest request) {
    this.vertx = vertx;
    this.driver = driver;
    this.router = router;
    this.codec = codec;
    this.metrics = metrics;
    this.connection = connection;
    this.request = request;
    this.response = request.response();
    this.unread =
        driver.longestWaitUnread(connection.isOnFirstRequest()).plus(connection.waitedBehind());
  }

  /** Reads the head, and then the body if there is one. */
  void start(int maximumBodyBytes) {
    Either<QueryError, ForwardedRequest> decoded = decode();
    if (decoded.isLeft()) {
      refuse(decoded.getLeft());
    } else if (hasBody()) {
      startBody(decoded.get(), maximumBodyBytes);
    } else {
      request.endHandler(end -> submit(decoded.get()));
    }
  }

  private Either<QueryError, ForwardedRequest> decode() {
    List<String> hosts = request.headers().getAll(HttpHeaders.HOST);
    if (hosts.size() != 1 || !request.uri().startsWith("/")) {
      return Either.left(
          QueryError.of(ErrorKind.MALFORMED_REQUEST, "one host and a path are needed"));
    }
    return codec.decode(
        request.method().name(), hosts.get(0), request.uri(), request.headers(), Payload.EMPTY);
  }

  private boolean hasBody() {
    return request.headers().contains(HttpHeaders.TRANSFER_ENCODING)
        || announcedBytes().filter(bytes -> bytes > 0).isPresent();
  }

  private Optional<Long> announcedBytes() {
    MultiMap headers = request.headers();
    return headers.contains(HttpHeaders.TRANSFER_ENCODING)
        ? Optional.empty()
        : Optional.ofNullable(headers.get(HttpHeaders.CONTENT_LENGTH)).map(Long::parseLong);
  }

  private void startBody(ForwardedRequest head, int maximumBytes) {
    Either<QueryError, BodyCollector> begun =
        BodyCollector.begin(connection.holder(), announcedBytes(), maximumBytes);
    if (begun.isLeft()) {
      refuseUnreadBody(begun.getLeft());
      return;
    }
    body = Optional.of(begun.get());
    connection.holder().awaitCaller();
    bodyTimer =
        vertx.setTimer(
            Math.max(1, longestUpload(head).toMillis()),
            id ->
                refuseUnreadBody(
                    QueryError.of(ErrorKind.REQUEST_TIMEOUT, "the body did not arrive in time")));
    if (HttpHeaders.CONTINUE.toString().equalsIgnoreCase(request.getHeader(HttpHeaders.EXPECT))) {
      response.writeContinue();
    }
    request.handler(this::onChunk);
    request.exceptionHandler(
        failure ->
            refuseUnreadBody(
                QueryError.of(ErrorKind.MALFORMED_REQUEST, "the body cannot be read")));
    request.endHandler(end -> onWholeBody(head));
  }

  /** A body is of no use once the caller has given up, or the operator wants no more of it. */
  private Duration longestUpload(ForwardedRequest head) {
    Duration patience = head.timeLeft().orElse(router.defaultTimeLeft()).minus(unread);
    Optional<Duration> timeout =
        router
            .configuration()
            .flatMap(configuration -> configuration.match(head.host(), head.target()))
            .map(Route::timeout);
    return timeout.filter(longest -> longest.compareTo(patience) < 0).orElse(patience);
  }

  private void onChunk(Buffer chunk) {
    if (!answered) {
      body.orElseThrow().add(chunk).ifPresent(this::refuseUnreadBody);
    }
  }

  private void onWholeBody(ForwardedRequest head) {
    if (!answered) {
      vertx.cancelTimer(bodyTimer);
      connection.holder().awaitRouter();
      submit(head.withBody(body.orElseThrow().whole()));
    }
  }

  /** The rest of the body may be on its way, so the connection cannot be used again. */
  private void refuseUnreadBody(QueryError error) {
    if (!answered) {
      vertx.cancelTimer(bodyTimer);
      response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
      connection.discardRest();
      answerError(error);
    }
  }

  private void refuse(QueryError error) {
    if (hasBody()) {
      refuseUnreadBody(error);
    } else {
      request.endHandler(end -> answerError(error));
    }
  }

  private void submit(ForwardedRequest read) {
    ForwardedRequest forwarded = ofConnection(read);
    driver.run(
        () -> {
          // Before the request is submitted: its answer may be written at once.
          response.closeHandler(closed -> onCallerGone());
          handle = router.submit(forwarded, outcome -> answer(forwarded, outcome));
        });
  }

  private ForwardedRequest ofConnection(ForwardedRequest decoded) {
    Duration reading = Duration.ofNanos(System.nanoTime() - startNanos);
    ForwardedRequest read = decoded.withUnread(unread.plus(reading));
    return connection.isOnFirstRequest() ? read.onNewConnection() : read;
  }

  private void onCallerGone() {
    if (!answered) {
      driver.run(handle::cancel);
    }
  }

  private void answer(ForwardedRequest forwarded, Either<QueryError, ForwardedAnswer> outcome) {
    metrics.onOutcome(forwarded, outcome, System.nanoTime() - startNanos);
    outcome.peek(answer -> answerSuccess(forwarded, answer)).peekLeft(this::answerError);
  }

  private void answerSuccess(ForwardedRequest forwarded, ForwardedAnswer answer) {
    Payload payload = payloadOf(answer);
    if (payload.length() > SMALL_ANSWER_BYTES && !connection.holder().tryTake(payload.length())) {
      answerError(
          QueryError.of(
              ErrorKind.BACKEND_FAILED, "answers that are not read take all memory for them"));
      return;
    }
    codec.encode(forwarded, answer, response.headers());
    int status = OK;
    if (answer instanceof ForwardedAnswer.FromServer own) {
      for (HeaderField header : own.reply().headers()) {
        response.headers().add(header.name(), header.value());
      }
      status = own.reply().status();
    }
    end(
        status,
        PayloadBuffers.of(payload),
        payload.length() > SMALL_ANSWER_BYTES ? payload.length() : 0);
  }

  private static Payload payloadOf(ForwardedAnswer answer) {
    return answer instanceof ForwardedAnswer.FromServer own
        ? own.reply().body()
        : ((ForwardedAnswer.Merged) answer).records();
  }

  private void answerError(QueryError error) {
    error
        .retryAfter()
        .ifPresent(
            delay ->
                response.putHeader(
                    HttpHeaders.RETRY_AFTER,
                    Double.toString(delay.toMillis() / MILLIS_PER_SECOND)));
    response.putHeader(HttpHeaders.CONTENT_TYPE, "text/plain");
    String text = error.kind().wireName() + ": " + error.detail() + "\n";
    end(statusOf(error), Buffer.buffer(text), 0);
  }

  private void end(int status, Buffer content, int takenBytes) {
    answered = true;
    body.ifPresent(BodyCollector::release);
    if (response.ended() || response.closed()) {
      onWritten(takenBytes);
      return;
    }
    if (router.isStopping()) {
      response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
    }
    connection.onAnswering();
    response.setStatusCode(status).end(content).onComplete(written -> onWritten(takenBytes));
  }

  private void onWritten(int takenBytes) {
    connection.holder().giveBack(takenBytes);
    connection.onAnswered();
  }

  /**
   * The status of an error: one that promises that the request has not run where that is proven,
   * and only there.
   */
  private static int statusOf(QueryError error) {
    int status = error.kind().httpStatus();
    if (error.executed() == Executed.NO) {
      return status == BAD_GATEWAY || status == GATEWAY_TIMEOUT ? SERVICE_UNAVAILABLE : status;
    }
    return status == SERVICE_UNAVAILABLE ? BAD_GATEWAY : status;
  }
}

package io.arrowarch.node;

import com.google.common.flogger.FluentLogger;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.query.QueryAnswer;
import io.arrowarch.core.query.QueryRequest;
import io.arrowarch.core.wire.WireCodec;
import io.arrowarch.node.CallerProtocol.AnswerBody;
import io.arrowarch.node.CallerProtocol.ErrorBody;
import io.arrowarch.node.CallerProtocol.ErrorDetail;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.Optional;

/** What callers use: queries and tickets. Every request gets exactly one answer. */
final class CallerApi {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String JSON = "application/json";
  private static final String KIND_PARAMETER = "kind";

  private final CoreDriver driver;
  private final RequestBodyReader bodyReader;
  private final RouterMetrics metrics;
  private final String incarnationPrefix;
  private long nextRequestNumber = 1;
  private boolean closing;

  CallerApi(
      CoreDriver driver,
      RequestBodyReader bodyReader,
      RouterMetrics metrics,
      String incarnationPrefix) {
    this.driver = driver;
    this.bodyReader = bodyReader;
    this.metrics = metrics;
    this.incarnationPrefix = incarnationPrefix;
  }

  void mount(Router router) {
    router.post(CallerProtocol.QUERY_PATH + ":" + KIND_PARAMETER).handler(this::onQuery);
    router.route().last().handler(this::onUnknownPath);
  }

  /** From now on every answer asks the caller to close its connection. */
  void startClosing() {
    closing = true;
  }

  private void onQuery(RoutingContext context) {
    long startNanos = System.nanoTime();
    Either<QueryError, Optional<String>> id =
        RequestParser.parseRequestId(context.request().headers());
    String requestId = id.getOrElse(Optional.empty()).orElseGet(this::makeUpRequestId);
    if (id.isLeft()) {
      sendError(context.response(), requestId, id.getLeft());
      return;
    }
    bodyReader.read(
        context.request(),
        body ->
            body.peek(bytes -> submit(context, requestId, bytes, startNanos))
                .peekLeft(error -> refuseBody(context, requestId, error)));
  }

  private void submit(RoutingContext context, String requestId, Buffer body, long startNanos) {
    String kind = context.pathParam(KIND_PARAMETER);
    Either<QueryError, QueryRequest> request =
        RequestParser.parse(requestId, kind, context.request().headers(), body);
    if (request.isLeft()) {
      sendError(context.response(), requestId, request.getLeft());
      return;
    }
    driver.run(
        () ->
            driver
                .core()
                .submit(
                    request.get(),
                    outcome -> {
                      metrics.onOutcome(kind, outcome, System.nanoTime() - startNanos);
                      send(context.response(), requestId, outcome);
                    }));
  }

  private void send(
      HttpServerResponse response, String requestId, Either<QueryError, QueryAnswer> outcome) {
    outcome
        .peek(answer -> sendAnswer(response, answer))
        .peekLeft(error -> sendError(response, requestId, error));
  }

  private void sendAnswer(HttpServerResponse response, QueryAnswer answer) {
    AnswerBody body =
        new AnswerBody(
            answer.requestId(),
            answer.kind(),
            Executed.YES.wireName(),
            answer.layout(),
            answer.snapshot(),
            answer.coverage(),
            answer.hits(),
            answer.document());
    end(response, answer.requestId(), 200, Executed.YES, WireCodec.encode(body));
  }

  private void refuseBody(RoutingContext context, String requestId, QueryError error) {
    // The rest of the body may still be on its way, so the connection cannot be used again.
    context.response().putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
    sendError(context.response(), requestId, error)
        .onComplete(sent -> context.request().connection().close());
  }

  private Future<Void> sendError(HttpServerResponse response, String requestId, QueryError error) {
    Optional<String> ticket = Optional.empty();
    if (error.kind() == ErrorKind.TICKET_REQUIRED) {
      String issued = driver.core().issueTicket().toString();
      response.putHeader(CallerProtocol.TICKET_HEADER, issued);
      ticket = Optional.of(issued);
    }
    error.retryAfter().ifPresent(delay -> putRetryAfter(response, delay));
    ErrorBody body =
        new ErrorBody(
            requestId,
            error.executed().wireName(),
            new ErrorDetail(
                error.kind().wireName(),
                error.detail(),
                error.kind().retryable(),
                error.retryAfter().map(Duration::toMillis)),
            ticket);
    return end(
        response, requestId, error.kind().httpStatus(), error.executed(), WireCodec.encode(body));
  }

  private static void putRetryAfter(HttpServerResponse response, Duration delay) {
    long seconds = Math.max(1, delay.plusMillis(999).toSeconds());
    response.putHeader(HttpHeaders.RETRY_AFTER, Long.toString(seconds));
    response.putHeader(CallerProtocol.RETRY_AFTER_MILLIS_HEADER, Long.toString(delay.toMillis()));
  }

  private Future<Void> end(
      HttpServerResponse response, String requestId, int status, Executed executed, byte[] body) {
    if (response.ended() || response.closed()) {
      logger.atFine().log("Caller: %s has gone before its answer.", requestId);
      return Future.succeededFuture();
    }
    if (closing) {
      response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
    }
    return response
        .setStatusCode(status)
        .putHeader(HttpHeaders.CONTENT_TYPE, JSON)
        .putHeader(CallerProtocol.REQUEST_ID_HEADER, requestId)
        .putHeader(CallerProtocol.EXECUTED_HEADER, executed.wireName())
        .end(Buffer.buffer(body));
  }

  private void onUnknownPath(RoutingContext context) {
    sendError(
        context.response(),
        makeUpRequestId(),
        QueryError.of(
            ErrorKind.UNKNOWN_PATH,
            "there is no " + context.request().method() + " " + context.request().path()));
  }

  private String makeUpRequestId() {
    return incarnationPrefix + nextRequestNumber++;
  }
}

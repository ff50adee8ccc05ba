package io.arrowarch.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.query.QueryRequest;
import io.arrowarch.node.CallerProtocol.RequestBody;
import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Turns a caller's HTTP request into a {@link QueryRequest}, or into the error that it gets. */
final class RequestParser {
  private static final Duration MAXIMUM_DEADLINE = Duration.ofMinutes(1);
  private static final Pattern MILLIS = Pattern.compile("[0-9]{1,9}");
  private static final Pattern REQUEST_ID = Pattern.compile("[\\x21-\\x7e]{1,128}");
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();
  private static final RequestBody EMPTY_BODY =
      new RequestBody(Optional.empty(), Optional.empty(), Optional.empty());

  private RequestParser() {}

  /**
   * Parses a request.
   *
   * @param requestId the caller's id, or the one made up for it
   */
  static Either<QueryError, QueryRequest> parse(
      String requestId, String kind, MultiMap headers, Buffer body) {
    return parseDeadline(headers)
        .flatMap(
            deadline ->
                singleHeader(headers, CallerProtocol.TICKET_HEADER)
                    .flatMap(
                        ticket ->
                            parseBody(body)
                                .flatMap(RequestParser::checkLimit)
                                .map(
                                    parsed -> request(requestId, kind, deadline, ticket, parsed))));
  }

  /** The caller's request id, if it gave one. */
  static Either<QueryError, Optional<String>> parseRequestId(MultiMap headers) {
    return singleHeader(headers, CallerProtocol.REQUEST_ID_HEADER)
        .flatMap(
            id ->
                id.isEmpty() || REQUEST_ID.matcher(id.get()).matches()
                    ? Either.right(id)
                    : refuse(
                        ErrorKind.MALFORMED_REQUEST,
                        "the request id is not 1 to 128 visible ASCII characters"));
  }

  private static QueryRequest request(
      String requestId,
      String kind,
      Optional<Duration> deadline,
      Optional<String> ticket,
      RequestBody body) {
    JsonNode query = body.query().orElse(JsonNodeFactory.instance.objectNode());
    int limit = body.limit().orElse(CallerProtocol.DEFAULT_LIMIT);
    return new QueryRequest(requestId, kind, deadline, limit, body.key(), ticket, query);
  }

  private static Either<QueryError, Optional<Duration>> parseDeadline(MultiMap headers) {
    return singleHeader(headers, CallerProtocol.DEADLINE_HEADER)
        .flatMap(
            text -> {
              if (text.isEmpty()) {
                return Either.right(Optional.empty());
              }
              if (!MILLIS.matcher(text.get()).matches()) {
                return refuse(
                    ErrorKind.INVALID_DEADLINE, "the deadline is not a number of milliseconds");
              }
              Duration deadline = Duration.ofMillis(Long.parseLong(text.get()));
              if (deadline.isZero() || deadline.compareTo(MAXIMUM_DEADLINE) > 0) {
                return refuse(
                    ErrorKind.INVALID_DEADLINE,
                    "the deadline is not between 1 and " + MAXIMUM_DEADLINE.toMillis());
              }
              return Either.right(Optional.of(deadline));
            });
  }

  private static Either<QueryError, Optional<String>> singleHeader(MultiMap headers, String name) {
    List<String> values = headers.getAll(name);
    if (values.size() > 1) {
      return refuse(ErrorKind.DUPLICATE_HEADER, "header " + name + " is given more than once");
    }
    return Either.right(values.stream().findFirst());
  }

  private static Either<QueryError, RequestBody> parseBody(Buffer body) {
    if (body.length() == 0) {
      return Either.right(EMPTY_BODY);
    }
    try {
      RequestBody parsed = MAPPER.readValue(body.getBytes(), RequestBody.class);
      return parsed == null
          ? refuse(ErrorKind.MALFORMED_REQUEST, "the body is null")
          : Either.right(parsed);
    } catch (JsonProcessingException e) {
      return refuse(ErrorKind.MALFORMED_REQUEST, "the body: " + e.getOriginalMessage());
    } catch (IOException e) {
      return refuse(ErrorKind.MALFORMED_REQUEST, "the body cannot be read");
    }
  }

  private static Either<QueryError, RequestBody> checkLimit(RequestBody body) {
    int limit = body.limit().orElse(CallerProtocol.DEFAULT_LIMIT);
    return limit < 1 || limit > CallerProtocol.MAXIMUM_LIMIT
        ? refuse(
            ErrorKind.MALFORMED_REQUEST,
            "the limit is not between 1 and " + CallerProtocol.MAXIMUM_LIMIT)
        : Either.right(body);
  }

  private static <T> Either<QueryError, T> refuse(ErrorKind kind, String detail) {
    return Either.left(QueryError.of(kind, detail));
  }
}

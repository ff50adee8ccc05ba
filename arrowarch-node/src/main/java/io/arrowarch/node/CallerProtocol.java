package io.arrowarch.node;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.arrowarch.core.query.Coverage;
import io.arrowarch.core.wire.SearchHit;
import java.util.Optional;

/** Headers, paths and messages between callers and routers. */
public final class CallerProtocol {
  /** The caller's own id for a request, repeated in the answer; made up when absent. */
  public static final String REQUEST_ID_HEADER = "Arrowarch-Request-Id";

  /** Milliseconds from receipt that the caller waits; the kind's own deadline when absent. */
  public static final String DEADLINE_HEADER = "Arrowarch-Deadline-Millis";

  /** The ticket of a non-repeatable request. */
  public static final String TICKET_HEADER = "Arrowarch-Ticket";

  /** In answers: {@code yes}, {@code no} or {@code unknown}. */
  public static final String EXECUTED_HEADER = "Arrowarch-Executed";

  /** In answers to be retried: the finer form of {@code Retry-After}. */
  public static final String RETRY_AFTER_MILLIS_HEADER = "Arrowarch-Retry-After-Millis";

  /** Prefix of query paths; the name of the kind follows. */
  public static final String QUERY_PATH = "/v1/query/";

  /** Hits returned when the caller gives no limit. */
  public static final int DEFAULT_LIMIT = 10;

  /** The largest limit. */
  public static final int MAXIMUM_LIMIT = 1_000;

  private CallerProtocol() {}

  /**
   * The body of a request; every field may be absent.
   *
   * @param key document key of single-shard kinds
   * @param limit the most hits wanted
   * @param query passed on to back ends
   */
  public record RequestBody(
      Optional<String> key, Optional<Integer> limit, Optional<JsonNode> query) {}

  /** The body of a successful answer. */
  @JsonInclude(JsonInclude.Include.NON_ABSENT)
  public record AnswerBody(
      String requestId,
      String kind,
      String executed,
      String layout,
      Optional<Long> snapshot,
      Coverage coverage,
      ImmutableList<SearchHit> hits,
      Optional<JsonNode> document) {}

  /** The body of an error answer. */
  @JsonInclude(JsonInclude.Include.NON_ABSENT)
  public record ErrorBody(
      String requestId, String executed, ErrorDetail error, Optional<String> ticket) {}

  /** What went wrong. */
  @JsonInclude(JsonInclude.Include.NON_ABSENT)
  public record ErrorDetail(
      String kind, String detail, boolean retryable, Optional<Long> retryAfterMillis) {}
}

package io.arrowarch.core.query;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;

/**
 * A caller's request after parsing.
 *
 * @param requestId the caller's own id, repeated in the answer
 * @param kind name of the query kind
 * @param deadline time allowed from receipt; the kind's own deadline applies when this is empty or
 *     longer
 * @param limit maximum number of hits of a search
 * @param key document key of single-shard kinds
 * @param ticket the ticket of a non-repeatable request, in text form
 * @param body passed to back ends unchanged
 */
public record QueryRequest(
    String requestId,
    String kind,
    Optional<Duration> deadline,
    int limit,
    Optional<String> key,
    Optional<String> ticket,
    JsonNode body) {
  public QueryRequest {
    requireNonNull(requestId, "requestId is null");
    requireNonNull(kind, "kind is null");
    requireNonNull(deadline, "deadline is null");
    requireNonNull(key, "key is null");
    requireNonNull(ticket, "ticket is null");
    requireNonNull(body, "body is null");
  }
}

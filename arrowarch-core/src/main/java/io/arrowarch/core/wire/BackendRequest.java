package io.arrowarch.core.wire;

import com.fasterxml.jackson.databind.JsonNode;
import io.arrowarch.core.config.Operation;
import java.util.Optional;

/**
 * One attempt as it is sent to a back end.
 *
 * @param attempt unique across all routers and their incarnations; the reply must repeat it
 * @param kind name of the query kind
 * @param layout layout id, {@code name/generation}
 * @param shard shard name
 * @param snapshot the index snapshot to answer from; if empty, the back end uses its newest
 * @param deadlineMillis time left, counted from receipt by the back end
 * @param limit maximum number of hits
 * @param key document key of single-shard operations
 * @param body body of the caller's request
 */
public record BackendRequest(
    String attempt,
    String kind,
    Operation operation,
    String layout,
    String shard,
    Optional<Long> snapshot,
    long deadlineMillis,
    int limit,
    Optional<String> key,
    JsonNode body) {}

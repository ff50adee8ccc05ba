package io.arrowarch.core.wire;

import com.fasterxml.jackson.databind.JsonNode;
import io.arrowarch.core.config.Operation;
import java.util.Optional;

/**
 * One attempt as it is sent to a back end.
 *
 * @param attempt unique over all routers and their incarnations; the reply must repeat it
 * @param kind the query kind
 * @param layout layout id, {@code name/generation}
 * @param shard shard name
 * @param snapshot the index snapshot to answer from; empty lets the back end take its newest
 * @param deadlineMillis time left for the back end, relative to receipt
 * @param limit the most hits wanted
 * @param key document key of single-shard operations
 * @param body the caller's body
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

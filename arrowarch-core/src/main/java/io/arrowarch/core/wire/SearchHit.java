package io.arrowarch.core.wire;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One search result.
 *
 * @param id document id, unique over the index
 * @param score higher is better
 * @param document the whole document
 */
public record SearchHit(String id, double score, JsonNode document) {}

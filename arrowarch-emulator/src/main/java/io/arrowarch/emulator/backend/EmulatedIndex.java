package io.arrowarch.emulator.backend;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.arrowarch.core.wire.BackendRequest;
import io.arrowarch.core.wire.SearchHit;
import java.nio.charset.StandardCharsets;

/**
 * Made-up documents. Each names the layout, shard and snapshot that it comes from and the query
 * that it answers, so that an oracle can tell a mixed or foreign answer.
 */
public final class EmulatedIndex {
  /** Hits that every shard has for every query, when the limit allows. */
  public static final int HITS_PER_SHARD = 5;

  private EmulatedIndex() {}

  /** The hits of one shard: the same for the same query, shard and snapshot. */
  static ImmutableList<SearchHit> search(BackendRequest request, long snapshot) {
    ImmutableList.Builder<SearchHit> hits = ImmutableList.builder();
    for (int i = 0; i < Math.min(HITS_PER_SHARD, request.limit()); i++) {
      String id = request.layout() + "/" + request.shard() + "/" + i;
      hits.add(new SearchHit(id, score(id, request), document(request, snapshot)));
    }
    return hits.build();
  }

  /** The document of a fetch, or the receipt of a post. */
  static ObjectNode document(BackendRequest request, long snapshot) {
    ObjectNode document = JsonNodeFactory.instance.objectNode();
    document.put("layout", request.layout());
    document.put("shard", request.shard());
    document.put("snapshot", snapshot);
    document.put("kind", request.kind());
    request.key().ifPresent(key -> document.put("key", key));
    document.set("query", request.body());
    return document;
  }

  private static double score(String id, BackendRequest request) {
    int hash =
        Hashing.murmur3_32_fixed().hashString(id + request.body(), StandardCharsets.UTF_8).asInt();
    return Math.floorMod(hash, 1_000) / 1_000.0;
  }
}

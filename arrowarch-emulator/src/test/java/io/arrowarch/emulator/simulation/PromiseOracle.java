package io.arrowarch.emulator.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.ConfigurationDocument.LayoutSpec;
import io.arrowarch.core.config.ConfigurationDocument.ShardSpec;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.query.QueryAnswer;
import io.arrowarch.core.wire.SearchHit;
import io.arrowarch.emulator.backend.EmulatedIndex;
import io.arrowarch.emulator.backend.ExecutionLog;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.assertj.core.data.Offset;

/** What must hold, told from what callers were told and what back ends ran. */
final class PromiseOracle {
  private static final double TOLERANCE = 1e-9;

  private final ExecutionLog log;
  private final Map<String, LayoutSpec> layouts = new HashMap<>();
  private final Multiset<String> submitted = HashMultiset.create();
  private final Multiset<String> saidNotRun = HashMultiset.create();
  private final Set<String> notRepeatable = new HashSet<>();

  PromiseOracle(ExecutionLog log) {
    this.log = log;
  }

  void onDocument(ConfigurationDocument document) {
    document.layouts().forEach(l -> layouts.put(l.name() + "/" + l.generation(), l));
  }

  void onSubmitted(String token) {
    submitted.add(token);
  }

  void onNotRepeatable(String token) {
    notRepeatable.add(token);
  }

  /** Checks one outcome; {@code token} is the text that only this request carries. */
  void onOutcome(String requestId, String token, Either<QueryError, QueryAnswer> outcome) {
    if (outcome.isRight()) {
      checkAnswer(requestId, token, outcome.get());
    } else if (outcome.getLeft().executed() == Executed.NO) {
      saidNotRun.add(token);
    }
  }

  /** Checks what can only be told when all is over. */
  void checkAtEnd() {
    Map<String, Integer> runs = new HashMap<>();
    for (ExecutionLog.Entry run : log.runs()) {
      runs.merge(token(run.request().body()), 1, Integer::sum);
    }
    for (String token : runs.keySet()) {
      // A request that was sent again may run then: not all of its answers can say that it did not.
      assertThat(saidNotRun.count(token))
          .as("answers that say that %s, which ran, did not run", token)
          .isLessThan(Math.max(1, submitted.count(token)));
    }
    for (String token : notRepeatable) {
      assertThat(runs.getOrDefault(token, 0))
          .as("runs of purchase %s: %s", token, runsOf(token))
          .isLessThanOrEqualTo(1);
    }
  }

  private List<ExecutionLog.Entry> runsOf(String token) {
    return log.runs().stream().filter(run -> token(run.request().body()).equals(token)).toList();
  }

  private void checkAnswer(String requestId, String token, QueryAnswer answer) {
    assertThat(answer.requestId()).isEqualTo(requestId);
    answer.document().ifPresent(document -> assertThat(token(document)).isEqualTo(token));
    if (answer.document().isPresent()) {
      return;
    }
    Map<String, Integer> hitsByShard = new HashMap<>();
    for (SearchHit hit : answer.hits()) {
      assertThat(token(hit.document())).as("whose hit this is").isEqualTo(token);
      assertThat(hit.document().path("snapshot").asLong())
          .as("snapshot of a hit")
          .isEqualTo(answer.snapshot().orElseThrow());
      assertThat(hit.document().path("layout").asText()).isEqualTo(answer.layout());
      hitsByShard.merge(hit.document().path("shard").asText(), 1, Integer::sum);
    }
    checkCoverage(answer, hitsByShard);
  }

  private void checkCoverage(QueryAnswer answer, Map<String, Integer> hitsByShard) {
    LayoutSpec layout = layouts.get(answer.layout());
    assertThat(answer.coverage().shardsAsked()).isEqualTo(layout.shards().size());
    double share = 0;
    for (ShardSpec shard : layout.shards()) {
      boolean missing = answer.coverage().missing().contains(shard.name());
      assertThat(hitsByShard.getOrDefault(shard.name(), 0))
          .as("hits of shard %s", shard.name())
          .isEqualTo(missing ? 0 : EmulatedIndex.HITS_PER_SHARD);
      share += missing ? 0 : shard.share();
    }
    assertThat(answer.coverage().fraction()).isCloseTo(share, within());
  }

  private static Offset<Double> within() {
    return Offset.offset(TOLERANCE);
  }

  private static String token(JsonNode body) {
    JsonNode query = body.has("query") ? body.path("query") : body;
    return query.path("token").asText();
  }
}

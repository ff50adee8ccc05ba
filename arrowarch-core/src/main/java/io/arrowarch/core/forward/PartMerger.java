package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/** Merges the answers of shards, and those that other routers have already merged, into one. */
final class PartMerger {
  private PartMerger() {}

  /**
   * Merges the answer of a search.
   *
   * @param parts all parts of the search; those that servers answered here are merged
   * @param mergedAnswers merged answers of other routers
   * @param missing number of shards whose records are in none of these answers
   * @param limit maximum number of records
   */
  static ForwardedAnswer.Merged merge(
      List<PartProgress> parts,
      List<ForwardedAnswer.Merged> mergedAnswers,
      int missing,
      int limit) {
    ImmutableList.Builder<String> signatures = ImmutableList.builder();
    List<Payload> records = new ArrayList<>();
    for (PartProgress part : parts) {
      if (part.answer().isPresent()) {
        signatures.add(part.answer().get().signature().orElseThrow());
        records.add(part.answer().get().body());
      }
    }
    for (ForwardedAnswer.Merged merged : mergedAnswers) {
      signatures.addAll(merged.signatures());
      records.add(merged.records());
    }
    return new ForwardedAnswer.Merged(
        signatures.build(), missing, RecordMerger.merge(records, limit));
  }
}

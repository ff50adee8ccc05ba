package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Compares the merge with a sort of all records. */
class RecordMergerProperties {
  @Property(tries = 500, seed = "20261202")
  void isTheGreatestOfAllRecords(
      @ForAll @Size(max = 5) List<@Size(max = 100) byte[]> parts,
      @ForAll @IntRange(min = 0, max = 12) int limit) {
    List<byte[]> records = new ArrayList<>();
    for (byte[] part : parts) {
      int whole = part.length / RecordMerger.RECORD_BYTES;
      for (int i = 0; i < whole; i++) {
        int from = i * RecordMerger.RECORD_BYTES;
        records.add(Arrays.copyOfRange(part, from, from + RecordMerger.RECORD_BYTES));
      }
    }
    records.sort((left, right) -> Arrays.compareUnsigned(right, left));

    byte[] merged = RecordMerger.merge(parts.stream().map(Payload::of).toList(), limit).bytes();

    int expected = Math.min(limit, records.size());
    assertThat(merged).hasSize(expected * RecordMerger.RECORD_BYTES);
    for (int i = 0; i < expected; i++) {
      int from = i * RecordMerger.RECORD_BYTES;
      assertThat(Arrays.copyOfRange(merged, from, from + RecordMerger.RECORD_BYTES))
          .isEqualTo(records.get(i));
    }
  }
}

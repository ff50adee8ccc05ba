package io.arrowarch.core.forward;

import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Merges payloads, each a sequence of fixed-size records, into the greatest records in descending
 * order. Records are compared as unsigned bytes.
 */
final class RecordMerger {
  /** Length of a record; a shorter remainder of a part is ignored. */
  static final int RECORD_BYTES = 16;

  private RecordMerger() {}

  /** The greatest {@code limit} records of all parts in descending order, duplicates included. */
  static Payload merge(List<Payload> parts, int limit) {
    PriorityQueue<Slice> greatest = new PriorityQueue<>(RecordMerger::compare);
    // The first byte alone excludes most records, which is cheaper than a full comparison.
    int leastFirst = 0;
    for (Payload part : parts) {
      byte[] bytes = part.bytes();
      for (int at = 0; at + RECORD_BYTES <= bytes.length; at += RECORD_BYTES) {
        if (Byte.toUnsignedInt(bytes[at]) >= leastFirst) {
          offer(greatest, new Slice(part, at), limit);
          leastFirst = greatest.size() < limit ? 0 : firstByte(greatest.peek());
        }
      }
    }
    byte[] merged = new byte[greatest.size() * RECORD_BYTES];
    for (int at = merged.length - RECORD_BYTES; at >= 0; at -= RECORD_BYTES) {
      Slice least = greatest.poll();
      System.arraycopy(least.payload().bytes(), least.offset(), merged, at, RECORD_BYTES);
    }
    return Payload.of(merged);
  }

  private record Slice(Payload payload, int offset) {}

  private static int firstByte(Slice slice) {
    return slice == null ? 0 : Byte.toUnsignedInt(slice.payload().bytes()[slice.offset()]);
  }

  private static void offer(PriorityQueue<Slice> greatest, Slice slice, int limit) {
    if (greatest.size() < limit) {
      greatest.add(slice);
    } else if (limit > 0 && compare(slice, greatest.peek()) > 0) {
      greatest.poll();
      greatest.add(slice);
    }
  }

  private static int compare(Slice left, Slice right) {
    return Arrays.compareUnsigned(
        left.payload().bytes(),
        left.offset(),
        left.offset() + RECORD_BYTES,
        right.payload().bytes(),
        right.offset(),
        right.offset() + RECORD_BYTES);
  }
}

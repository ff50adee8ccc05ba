package io.arrowarch.core.forward;

/**
 * Counts events in a sliding window of slices. A slice counts until all of it has left the window,
 * so that the count covers up to one slice more than the window.
 */
final class SlidingWindowCounter {
  private static final int SLICES = 50;

  private final long sliceNanos;
  private final int[] counts = new int[SLICES + 1];
  private long newestSlice = Long.MIN_VALUE;
  private int sum;

  SlidingWindowCounter(long windowNanos) {
    this.sliceNanos = windowNanos / SLICES;
  }

  void add(long nowNanos) {
    advance(nowNanos);
    counts[index(newestSlice)]++;
    sum++;
  }

  int count(long nowNanos) {
    advance(nowNanos);
    return sum;
  }

  private void advance(long nowNanos) {
    long slice = Math.floorDiv(nowNanos, sliceNanos);
    if (newestSlice == Long.MIN_VALUE) {
      newestSlice = slice;
    }
    long steps = Math.min(slice - newestSlice, counts.length);
    for (long step = 1; step <= steps; step++) {
      int cleared = index(slice - steps + step);
      sum -= counts[cleared];
      counts[cleared] = 0;
    }
    newestSlice = Math.max(newestSlice, slice);
  }

  private int index(long slice) {
    return (int) Math.floorMod(slice, (long) counts.length);
  }
}

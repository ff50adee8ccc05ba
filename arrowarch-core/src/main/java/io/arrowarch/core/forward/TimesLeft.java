package io.arrowarch.core.forward;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * How long the callers of a route wait for their answers, in milliseconds. Holds a uniform sample
 * of all values, by Vitter's algorithm R, of at most half a kilobyte.
 */
final class TimesLeft {
  private static final int SAMPLE_SIZE = 128;
  private static final int FIRST_CAPACITY = 8;

  /** The median is computed again when this many more values have been recorded. */
  private static final int MEDIAN_CACHE_VALUES = 16;

  private final RandomGenerator random;
  private int[] sample = new int[FIRST_CAPACITY];
  private long count;
  private int maximum;
  private int median;
  private long medianCount;

  TimesLeft(RandomGenerator random) {
    this.random = random;
  }

  void record(int millis) {
    maximum = Math.max(maximum, millis);
    if (count < SAMPLE_SIZE) {
      if (count == sample.length) {
        sample = Arrays.copyOf(sample, 2 * sample.length);
      }
      sample[(int) count] = millis;
    } else {
      long replaced = random.nextLong(count + 1);
      if (replaced < SAMPLE_SIZE) {
        sample[(int) replaced] = millis;
      }
    }
    count++;
  }

  /** Number of values recorded. */
  long count() {
    return count;
  }

  /** The greatest value recorded; 0 if there is none. */
  int maximum() {
    return maximum;
  }

  /** The median, up to {@value #MEDIAN_CACHE_VALUES} values old; 0 if there is no value. */
  int median() {
    boolean few = count <= MEDIAN_CACHE_VALUES;
    if (few || count - medianCount >= MEDIAN_CACHE_VALUES) {
      int[] sorted = Arrays.copyOf(sample, (int) Math.min(count, SAMPLE_SIZE));
      Arrays.sort(sorted);
      median = sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
      medianCount = count;
    }
    return median;
  }
}

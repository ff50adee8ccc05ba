package io.arrowarch.core.store;

import java.util.Comparator;

/**
 * A revision of the platform's store. A store that comes back from an older copy gives its numbers
 * out again, under the next era: any revision of a later era is later than all of an earlier one.
 *
 * @param era how often the store has come back older; 0 where it states none
 * @param number rises with each change within an era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
  /** Before anything was read. */
  public static final StoreRevision NONE = new StoreRevision(0, 0);

  private static final Comparator<StoreRevision> ORDER =
      Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

  @Override
  public int compareTo(StoreRevision other) {
    return ORDER.compare(this, other);
  }

  /** Whether this is later than another. */
  public boolean isAfter(StoreRevision other) {
    return compareTo(other) > 0;
  }

  /** The later of this and another. */
  public StoreRevision latest(StoreRevision other) {
    return other.isAfter(this) ? other : this;
  }

  /** Whether both count in the same era, so that the number alone tells which is later. */
  public boolean isOfEraOf(StoreRevision other) {
    return era == other.era;
  }
}

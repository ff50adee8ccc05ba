package io.arrowarch.core.store;

import java.util.Comparator;

/**
 * A revision of the platform's store. A store that is restored from an older backup assigns the
 * same numbers again in a new era. Every revision of a later era is later than all revisions of
 * earlier eras.
 *
 * @param era how often the store was restored from an older backup; 0 if the store states no era
 * @param number rises with each change within an era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
  /** The revision before anything was read. */
  public static final StoreRevision NONE = new StoreRevision(0, 0);

  private static final Comparator<StoreRevision> ORDER =
      Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

  @Override
  public int compareTo(StoreRevision other) {
    return ORDER.compare(this, other);
  }

  /** Whether this revision is later than another. */
  public boolean isAfter(StoreRevision other) {
    return compareTo(other) > 0;
  }

  /** Returns the later of this revision and another. */
  public StoreRevision latest(StoreRevision other) {
    return other.isAfter(this) ? other : this;
  }

  /** Whether both revisions are of the same era, so that their numbers can be compared. */
  public boolean isSameEraAs(StoreRevision other) {
    return era == other.era;
  }
}

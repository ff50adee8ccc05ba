package io.arrowarch.core.peer;

import io.arrowarch.core.store.StoreRevision;

/**
 * The state of one router's view of the platform's store, reported to other routers.
 *
 * @param newest the newest revision of a key that the sender has seen
 * @param position the revision up to which the sender knows every change, deletions included
 * @param ageMillis the greatest possible age of the sender's view; {@link #NEVER} where the view
 *     has never been complete
 * @param configurationVersion version of the configuration that the sender holds; 0 without one
 */
public record StoreNews(
    StoreRevision newest, StoreRevision position, long ageMillis, long configurationVersion) {
  /** The age of a view that has never been complete. */
  public static final long NEVER = -1;

  /** Reported by a router that follows no store. */
  public static final StoreNews NONE =
      new StoreNews(StoreRevision.NONE, StoreRevision.NONE, NEVER, 0);
}

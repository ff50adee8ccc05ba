package io.arrowarch.core.peer;

import io.arrowarch.core.store.StoreRevision;

/**
 * What a router tells others of the platform's store.
 *
 * @param newest the newest revision of a key that the sender has seen
 * @param position up to which revision the sender knows every change, deletions included
 * @param ageMillis how old the sender's view of the store may be; {@link #NEVER} where it has none
 * @param configurationVersion of the configuration that the sender holds; 0 without one
 */
public record StoreNews(
    StoreRevision newest, StoreRevision position, long ageMillis, long configurationVersion) {
  /** The age of a view that was never complete. */
  public static final long NEVER = -1;

  /** Of a router that follows no store. */
  public static final StoreNews NONE =
      new StoreNews(StoreRevision.NONE, StoreRevision.NONE, NEVER, 0);
}

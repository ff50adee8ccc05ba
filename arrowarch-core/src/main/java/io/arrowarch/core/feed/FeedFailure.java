package io.arrowarch.core.feed;

/** Why the store gave no answer. */
public enum FeedFailure {
  /** The revision to continue from is no longer known; list again. */
  HISTORY_GONE,
  /** Too many calls of all routers. */
  THROTTLED,
  /** The store says that it did nothing. */
  UNAVAILABLE,
  /** No connection, a broken one, no answer in time, or an answer that cannot be read. */
  NO_ANSWER
}

package io.arrowarch.core.feed;

/** Why the store gave no answer. */
public enum FeedFailure {
  /** The store no longer has the changes after the requested revision; a new listing is needed. */
  HISTORY_GONE,
  /** The routers together made too many calls. */
  THROTTLED,
  /** The store answered that it did not execute the call. */
  UNAVAILABLE,
  /** No connection, a broken one, a time-out, or an answer that can't be parsed. */
  NO_ANSWER
}

package io.arrowarch.core.replica;

/** What an attempt says about the back end that it went to. */
public enum AttemptResult {
  /** A valid reply. */
  SUCCESS,
  /** A refusal because of load. */
  SHED,
  /** A time-out, broken connection, or invalid reply. */
  FAILURE,
  /** No connection could be opened. */
  UNREACHABLE,
  /** Nothing about health: cancelled, or refused for another reason than load. */
  NEUTRAL
}

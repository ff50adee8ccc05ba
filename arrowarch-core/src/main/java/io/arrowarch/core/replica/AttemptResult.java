package io.arrowarch.core.replica;

/** What the outcome of an attempt says about the health of its back end. */
public enum AttemptResult {
  /** A valid reply. */
  SUCCESS,
  /** A refusal because of load. */
  SHED,
  /**
   * A failed request, lost connection or invalid reply, or an attempt that a later one overtook.
   */
  FAILURE,
  /** No connection could be opened. */
  UNREACHABLE,
  /** Nothing: not written, cancelled, or refused for another reason than load. */
  NEUTRAL
}

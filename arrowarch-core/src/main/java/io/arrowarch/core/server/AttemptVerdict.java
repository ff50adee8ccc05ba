package io.arrowarch.core.server;

/** What an ended attempt says about its server. */
public enum AttemptVerdict {
  /** It answered. */
  SOUND,
  /** It said that it has no room. */
  SHED,
  /** It broke off, answered bytes that are no answer, or said nothing in time. */
  FAILED,
  /** No connection came up. */
  UNREACHABLE,
  /** Another server answered at its address. */
  REPLACED,
  /** Nothing: the router ended the attempt. */
  NONE
}

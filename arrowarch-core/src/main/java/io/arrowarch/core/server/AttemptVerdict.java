package io.arrowarch.core.server;

/** What an ended attempt says about its server. */
public enum AttemptVerdict {
  /** The server answered. */
  ANSWERED,
  /** The server shed the request because it is full. */
  SHED,
  /** The connection broke, the answer was malformed, or none came in time. */
  FAILED,
  /** No connection could be opened. */
  UNREACHABLE,
  /** Another server answered at this server's address. */
  REPLACED,
  /** Nothing about the server: the router ended the attempt. */
  NONE
}

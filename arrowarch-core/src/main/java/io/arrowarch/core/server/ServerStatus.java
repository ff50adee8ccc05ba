package io.arrowarch.core.server;

/** What the directory, or the server itself, says of a server's life. */
public enum ServerStatus {
  /** Takes new work. */
  READY,
  /** Leaves soon; takes new work only where nothing else is left, and for a short time. */
  DRAINING,
  /** Its entry has gone; as for draining. */
  GONE,
  /** Another server has its address; takes nothing. */
  REPLACED
}

package io.arrowarch.core.server;

/** The status of a server, from its directory entry or from its own answers. */
public enum ServerStatus {
  /** Takes new requests. */
  READY,
  /**
   * Leaves soon; gets new requests only if its service has no other server, and only for a short
   * time.
   */
  DRAINING,
  /**
   * Its entry was removed. It is still used for a short time, as the entry may only have lapsed.
   */
  GONE,
  /** Another server has its name or address; gets no requests. */
  REPLACED
}

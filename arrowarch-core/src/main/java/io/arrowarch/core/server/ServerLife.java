package io.arrowarch.core.server;

/**
 * The version of a server's entry, as the server itself states it.
 *
 * @param born start of the server's incarnation, in Unix milliseconds; 0 if not stated
 * @param sequence count that begins anew with each incarnation; 0 if not stated
 */
public record ServerLife(long born, long sequence) {
  /** The version of an entry whose server states neither. */
  public static final ServerLife UNSTATED = new ServerLife(0, 0);

  /**
   * Whether this version is older than another of the same server. Sequences are compared only
   * within one stated incarnation: without a start time they may have begun anew.
   */
  public boolean isBefore(ServerLife other) {
    if (born == 0 || other.born == 0) {
      return false;
    }
    return born == other.born ? sequence < other.sequence : born < other.born;
  }
}

package io.arrowarch.core.server;

/**
 * The version of a server's entry, as the server itself states it.
 *
 * @param startUnixMillis start of the server's incarnation, in Unix milliseconds; 0 if not stated
 * @param sequence count that restarts with each incarnation; 0 if not stated
 */
public record EntryVersion(long startUnixMillis, long sequence) {
  /** The version of an entry whose server states neither. */
  public static final EntryVersion UNSTATED = new EntryVersion(0, 0);

  /**
   * Whether this version is older than another of the same server. Sequences are compared only
   * within one stated incarnation: without a start time they may have restarted.
   */
  public boolean isBefore(EntryVersion other) {
    if (startUnixMillis == 0 || other.startUnixMillis == 0) {
      return false;
    }
    return startUnixMillis == other.startUnixMillis
        ? sequence < other.sequence
        : startUnixMillis < other.startUnixMillis;
  }
}

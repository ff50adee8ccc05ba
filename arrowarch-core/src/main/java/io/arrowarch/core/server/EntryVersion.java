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
   * Whether this version is older than another of the same key. Sequences are compared only within
   * one incarnation. A server that states no start time has a new key for each incarnation. If only
   * one of the two versions has a start time, neither is older.
   */
  public boolean isBefore(EntryVersion other) {
    if (startUnixMillis == other.startUnixMillis) {
      return sequence < other.sequence;
    }
    boolean bothStated = startUnixMillis != 0 && other.startUnixMillis != 0;
    return bothStated && startUnixMillis < other.startUnixMillis;
  }
}

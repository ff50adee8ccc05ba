package io.arrowarch.core.server;

/**
 * Where in a server's lives something that it says of itself belongs, by its own word.
 *
 * @param born Unix milliseconds of its start; 0 where it states none
 * @param sequence its own count, which begins anew with each start; 0 where it states none
 */
public record ServerLife(long born, long sequence) {
  /** Of a server that states neither. */
  public static final ServerLife UNSTATED = new ServerLife(0, 0);

  /**
   * Whether this was said before something else of the same name. Counts are compared within one
   * stated birth only: without one they may have begun anew.
   */
  public boolean isBefore(ServerLife other) {
    if (born == 0 || other.born == 0) {
      return false;
    }
    return born == other.born ? sequence < other.sequence : born < other.born;
  }
}

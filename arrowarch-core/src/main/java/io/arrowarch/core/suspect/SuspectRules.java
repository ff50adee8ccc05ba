package io.arrowarch.core.suspect;

import java.time.Duration;

/**
 * When a request is kept from servers.
 *
 * @param endsToSuspect servers that must have ended under a request before it is suspected
 * @param canaryTime how long after the last of these ends every router may try it on one server;
 *     later only one of all routers may. Must be over well before the bound from which such a
 *     request may not reach servers any more
 * @param hold how long a request that has ended the server of its canary is kept from all servers
 * @param memory how long a suspected request is remembered after it was last asked for
 * @param mostRequests that are remembered; the one that was asked for longest ago goes first
 */
public record SuspectRules(
    int endsToSuspect, Duration canaryTime, Duration hold, Duration memory, int mostRequests) {
  /**
   * Three ends, as the users count them. Servers are back two seconds after their end, and then a
   * sound request can be cleared at any router; of the users' four seconds more than one is left
   * for the news and for what is on its way.
   */
  public static final SuspectRules DEFAULT =
      new SuspectRules(
          3, Duration.ofMillis(2_500), Duration.ofMinutes(10), Duration.ofMinutes(30), 1_024);

  /** Suspects no request. */
  public static final SuspectRules NONE =
      new SuspectRules(
          Integer.MAX_VALUE,
          DEFAULT.canaryTime,
          DEFAULT.hold,
          DEFAULT.memory,
          DEFAULT.mostRequests);
}

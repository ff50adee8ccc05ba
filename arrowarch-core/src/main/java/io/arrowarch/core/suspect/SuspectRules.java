package io.arrowarch.core.suspect;

import java.time.Duration;

/**
 * When a request is suspected and quarantined, and how long that is remembered.
 *
 * @param endsToSuspect number of servers that must crash while running a request before it is
 *     suspected
 * @param canaryTime how long after the last of these crashes any router may run a canary; later
 *     only the responsible one may. Must end well before the time by which all routers must refuse
 *     a crashing request
 * @param hold how long a request is quarantined after it crashed the server of its canary
 * @param memory how long a request that is not free is remembered after it was last seen
 * @param mostRequests maximum number of remembered requests; the one seen longest ago is evicted
 *     first
 */
public record SuspectRules(
    int endsToSuspect, Duration canaryTime, Duration hold, Duration memory, int mostRequests) {
  /**
   * A request is suspected after three crashes. Servers restart within two seconds, so the canary
   * time of 2.5 s lets any router clear a harmless request once they are back. All routers must
   * refuse a crashing request four seconds after the third crash; more than one second of them is
   * left for gossip and for requests in flight.
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

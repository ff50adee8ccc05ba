package io.arrowarch.core.suspect;

import java.time.Duration;

/**
 * When a request is suspected and quarantined, and how long that is remembered.
 *
 * @param crashesToSuspect number of servers that must crash while running a request before it is
 *     suspected
 * @param canaryPeriod how long after the last of these crashes any router may run a canary; later
 *     only the responsible one may. Must end well before the time by which all routers must refuse
 *     a crashing request
 * @param quarantinePeriod how long a request is quarantined after it crashed the server of its
 *     canary, or after two canaries without a result
 * @param retentionPeriod how long a request that crashed servers is remembered after it was last
 *     seen
 * @param maximumRequests maximum number of remembered requests. Those that may run are evicted
 *     first, of these and of the others the one seen longest ago
 */
public record SuspectRules(
    int crashesToSuspect,
    Duration canaryPeriod,
    Duration quarantinePeriod,
    Duration retentionPeriod,
    int maximumRequests) {
  /**
   * A request is suspected after three crashes, as in the users' requirement. Servers restart
   * within two seconds, so the canary period of 2.5 s lets any router clear a harmless request once
   * they are back. The users require that all routers refuse a crashing request four seconds after
   * the third crash; more than one second of them is left for gossip and for requests in flight.
   */
  public static final SuspectRules DEFAULT =
      new SuspectRules(
          3, Duration.ofMillis(2_500), Duration.ofMinutes(10), Duration.ofMinutes(30), 8_192);

  /** Suspects no request. */
  public static final SuspectRules NONE =
      new SuspectRules(
          Integer.MAX_VALUE,
          DEFAULT.canaryPeriod,
          DEFAULT.quarantinePeriod,
          DEFAULT.retentionPeriod,
          DEFAULT.maximumRequests);
}

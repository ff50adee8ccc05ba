package io.arrowarch.core.forward;

import com.google.common.base.CaseFormat;
import java.util.Arrays;
import java.util.Optional;

/** A mechanism of request routing that can be disabled, to measure its effect. */
public enum Mechanism {
  /** Hedges: a second attempt for a part of a request whose first attempt is slow. */
  HEDGES,
  /** The load that servers report. */
  LOAD_REPORTS,
  /** Detection of stalled servers by the age of their oldest open attempt. */
  STALL_DETECTION,
  /** The measured speed of each server. */
  SPEED_MEMORY,
  /** A limit on concurrent searches in a process that has just started. */
  SLOW_START,
  /** Answers that lack some parts when the objective is due. */
  PARTIAL_ANSWERS,
  /** Preference for servers in the router's own zone. */
  OWN_ZONE_FIRST,
  /** Delegation of searches to a router that is nearer to the servers. */
  DELEGATION,
  /** In large zones, following watch relays instead of the store. */
  FOLLOWED_LOOKOUTS,
  /** Quarantine of requests that have crashed servers. */
  CRASH_GUARD,
  /** Synthetic searches before the process is ready. */
  WARM_UP;

  /** Name in the settings, such as {@code own-zone-first}. */
  public String settingName() {
    return CaseFormat.UPPER_UNDERSCORE.to(CaseFormat.LOWER_HYPHEN, name());
  }

  /** Finds a mechanism by its name in the settings. */
  public static Optional<Mechanism> ofSettingName(String name) {
    return Arrays.stream(values())
        .filter(mechanism -> mechanism.settingName().equals(name))
        .findFirst();
  }
}

package io.arrowarch.core.forward;

import com.google.common.base.CaseFormat;
import java.util.Arrays;
import java.util.Optional;

/** A mechanism of the decisions that can be left out, to measure what it is worth. */
public enum Mechanism {
  /** A second attempt for a part that takes long. */
  HEDGES,
  /** What servers say of their load. */
  LOAD_REPORTS,
  /** Servers that stand still are told by the age of their oldest open attempt. */
  STALL_DETECTION,
  /** Measured speed of each server. */
  SPEED_MEMORY,
  /** A limit of searches while the process has just started. */
  SLOW_START,
  /** An answer without some parts once the objective is due. */
  PARTIAL_ANSWERS,
  /** Servers of the router's own zone first. */
  OWN_ZONE_FIRST,
  /** Searches handed to a router that is nearer to the servers. */
  DELEGATION,
  /** In large zones lookouts are followed in place of the store. */
  FOLLOWED_LOOKOUTS,
  /** Requests that have ended servers are kept from the others. */
  CRASH_GUARD,
  /** Made-up searches before the process is ready. */
  WARM_UP;

  /** The name in settings, such as {@code own-zone-first}. */
  public String settingName() {
    return CaseFormat.UPPER_UNDERSCORE.to(CaseFormat.LOWER_HYPHEN, name());
  }

  /** The mechanism of a name in settings, if there is one. */
  public static Optional<Mechanism> ofSettingName(String name) {
    return Arrays.stream(values())
        .filter(mechanism -> mechanism.settingName().equals(name))
        .findFirst();
  }
}

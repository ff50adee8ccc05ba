package io.arrowarch.core.query;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a router and its incarnation.
 *
 * @param id configured name, the same after a restart
 * @param zone name of the zone in which it runs
 * @param incarnation rises with every restart
 */
public record NodeIdentity(String id, String zone, long incarnation) {
  public NodeIdentity {
    requireNonNull(id, "id is null");
    requireNonNull(zone, "zone is null");
  }
}

package io.arrowarch.core.query;

import static java.util.Objects.requireNonNull;

/**
 * Who a router is.
 *
 * @param id its configured name, kept over restarts
 * @param zone where it runs
 * @param incarnation differs after every restart, and rises
 */
public record NodeIdentity(String id, String zone, long incarnation) {
  public NodeIdentity {
    requireNonNull(id, "id is null");
    requireNonNull(zone, "zone is null");
  }
}

package io.arrowarch.core.server;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * What a server says of itself in the directory. Every start of a server has an id of its own here,
 * also where it answers to the name that the one before had.
 *
 * @param id of this start
 * @param name that it answers to
 * @param address IP:PORT; used again by other servers once this one has ended
 * @param slots requests that it works on at once
 * @param warmUpLeft how much longer it is slow after its start
 * @param life where in its lives it has said so
 */
public record ServerEntry(
    String id,
    String name,
    String service,
    String address,
    String zone,
    int slots,
    boolean draining,
    Duration warmUpLeft,
    ServerLife life) {
  /** Requires all. */
  public ServerEntry {
    requireNonNull(id, "id is null");
    requireNonNull(name, "name is null");
    requireNonNull(service, "service is null");
    requireNonNull(address, "address is null");
    requireNonNull(zone, "zone is null");
    requireNonNull(warmUpLeft, "warmUpLeft is null");
    requireNonNull(life, "life is null");
  }

  /** Of a server that states no birth and never starts again under its id. */
  public ServerEntry(
      String id,
      String service,
      String address,
      String zone,
      int slots,
      boolean draining,
      Duration warmUpLeft) {
    this(id, id, service, address, zone, slots, draining, warmUpLeft, ServerLife.UNSTATED);
  }
}

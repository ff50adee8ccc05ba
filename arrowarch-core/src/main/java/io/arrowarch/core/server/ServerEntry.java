package io.arrowarch.core.server;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * What a server says of itself in the directory. Every start of a server has an entry and an id of
 * its own.
 *
 * @param id of this incarnation
 * @param address IP:PORT; used again by other servers once this one has ended
 * @param slots requests that it works on at once
 * @param warmUpLeft how much longer it is slow after its start
 */
public record ServerEntry(
    String id,
    String service,
    String address,
    String zone,
    int slots,
    boolean draining,
    Duration warmUpLeft) {
  public ServerEntry {
    requireNonNull(id, "id is null");
    requireNonNull(service, "service is null");
    requireNonNull(address, "address is null");
    requireNonNull(zone, "zone is null");
    requireNonNull(warmUpLeft, "warmUpLeft is null");
  }
}

package io.arrowarch.core.server;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * A server's entry in the directory, written by the server itself. Every incarnation of a server
 * has its own id, even if it keeps the name of the one before.
 *
 * @param id unique to this incarnation
 * @param name to which the server answers; a restarted server may have the same
 * @param address IP:PORT; may be reused by other servers after this one has ended
 * @param slots number of requests that it can run at once
 * @param warmUpLeft how much longer it is slow after its start
 * @param version start of the incarnation and sequence number of this entry, as the server states
 *     them
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
    EntryVersion version) {
  public ServerEntry {
    requireNonNull(id, "id is null");
    requireNonNull(name, "name is null");
    requireNonNull(service, "service is null");
    requireNonNull(address, "address is null");
    requireNonNull(zone, "zone is null");
    requireNonNull(warmUpLeft, "warmUpLeft is null");
    requireNonNull(version, "version is null");
  }

  /** The entry of a server that states no start time and never restarts under its id. */
  public ServerEntry(
      String id,
      String service,
      String address,
      String zone,
      int slots,
      boolean draining,
      Duration warmUpLeft) {
    this(id, id, service, address, zone, slots, draining, warmUpLeft, EntryVersion.UNSTATED);
  }
}

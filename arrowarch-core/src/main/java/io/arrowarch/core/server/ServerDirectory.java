package io.arrowarch.core.server;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** The servers that a router knows, by id and by service. Owned by one router; not thread-safe. */
public final class ServerDirectory {
  /**
   * How long, at least, a server is remembered after its last status change if it is not ready.
   * Expired servers are removed only when the entry of a server is removed, and not while an
   * attempt is open.
   */
  private static final Duration RETENTION = Duration.ofSeconds(10);

  private final Duration lastResort;
  private final Map<String, ServerState> servers = new HashMap<>();
  private final SetMultimap<String, ServerState> byService = LinkedHashMultimap.create();
  private final Set<String> evacuatedZones = new HashSet<>();

  /**
   * Creates a directory without servers.
   *
   * @param lastResort how long a server that is leaving is still used if its service has no other
   */
  public ServerDirectory(Duration lastResort) {
    this.lastResort = lastResort;
  }

  /** Updates a server from an entry that was written just now. */
  public boolean onEntry(ServerEntry entry, long nowNanos) {
    return onEntry(entry, nowNanos, nowNanos);
  }

  /**
   * Updates a server from an entry; returns whether the server is new or its status changes.
   *
   * @param sinceNanos the earliest time at which the entry may have been written
   */
  public boolean onEntry(ServerEntry entry, long sinceNanos, long nowNanos) {
    ServerState known = servers.get(entry.id());
    if (known == null) {
      ServerState added = new ServerState(entry, lastResort, sinceNanos, nowNanos);
      servers.put(entry.id(), added);
      byService.put(entry.service(), added);
      return true;
    }
    ServerStatus before = known.status();
    known.onEntry(entry, sinceNanos, nowNanos);
    return before != known.status();
  }

  /** Records that a server's entry was removed just now; returns whether the server was known. */
  public boolean onGone(String id, long nowNanos) {
    return onGone(id, nowNanos, nowNanos);
  }

  /**
   * Records that a server's entry was removed; returns whether the server was known.
   *
   * @param sinceNanos the time from which its absence is counted
   */
  public boolean onGone(String id, long sinceNanos, long nowNanos) {
    removeExpired(nowNanos);
    ServerState known = servers.get(id);
    if (known == null) {
      return false;
    }
    known.onGone(sinceNanos);
    return true;
  }

  /** Records that a server has ended, because a new incarnation has started in its place. */
  public void onRestarted(String id, long nowNanos) {
    find(id).ifPresent(server -> server.onRestarted(nowNanos));
  }

  /** Records that a server has told this or another router that it is draining. */
  public void onDraining(String id, long nowNanos) {
    find(id).ifPresent(server -> server.onDraining(nowNanos));
  }

  /** Stops the use of a zone's servers; returns false if the zone was evacuated already. */
  public boolean onEvacuated(String zone) {
    return evacuatedZones.add(zone);
  }

  /**
   * Allows the use of a zone's servers again; returns false if the zone was not evacuated. The
   * servers are treated as cold, because they may have become so before their entries say it.
   *
   * @param warmUpOf how long a server of a service is cold
   */
  public boolean onEvacuationEnded(
      String zone, Function<String, Duration> warmUpOf, long nowNanos) {
    if (!evacuatedZones.remove(zone)) {
      return false;
    }
    for (ServerState server : servers.values()) {
      if (server.entry().zone().equals(zone)) {
        server.onCold(warmUpOf.apply(server.entry().service()), nowNanos);
      }
    }
    return true;
  }

  /** The zones whose servers are not used. */
  public Set<String> evacuatedZones() {
    return Collections.unmodifiableSet(evacuatedZones);
  }

  /** Records a load report. */
  public void onReport(String id, LoadReport report, long nowNanos) {
    find(id).ifPresent(server -> server.onReport(report, nowNanos));
  }

  /** Records the start of an attempt and its expected length. */
  public void onStarted(String id, long attempt, long nowNanos, long expectedNanos) {
    find(id).ifPresent(server -> server.onStarted(attempt, nowNanos, expectedNanos));
  }

  /** See {@link ServerState#onEnded}. */
  public void onEnded(
      String id, long attempt, AttemptVerdict verdict, double relativeLatency, long nowNanos) {
    find(id).ifPresent(server -> server.onEnded(attempt, verdict, relativeLatency, nowNanos));
  }

  /** The server with this id, unless it is unknown or forgotten. */
  public Optional<ServerState> find(String id) {
    return Optional.ofNullable(servers.get(id));
  }

  /** All servers of a service that are not forgotten. */
  public Set<ServerState> ofService(String service) {
    return byService.get(service);
  }

  /** All servers that are not forgotten. */
  public Collection<ServerState> all() {
    return servers.values();
  }

  /**
   * The servers of a service that may get new attempts. These are the servers of the first of the
   * following groups that has any:
   *
   * <ol>
   *   <li>available and not suspended
   *   <li>available but suspended
   *   <li>draining for less than the last-resort time
   * </ol>
   *
   * <p>Servers of an evacuated zone are in no group. A server whose entry was removed recently
   * counts as available. Entries also lapse, many at a time, while the store is unavailable, and
   * failed attempts show sooner than a removed entry that a server has ended.
   */
  public List<ServerState> usable(String service, long nowNanos) {
    List<ServerState> healthy = new ArrayList<>();
    List<ServerState> suspended = new ArrayList<>();
    List<ServerState> lastResort = new ArrayList<>();
    for (ServerState server : byService.get(service)) {
      if (evacuatedZones.contains(server.entry().zone())) {
        continue;
      }
      if (server.isAvailable(nowNanos)) {
        (server.isSuspended(nowNanos) ? suspended : healthy).add(server);
      } else if (server.isLastResort(nowNanos)) {
        lastResort.add(server);
      }
    }
    if (!healthy.isEmpty()) {
      return healthy;
    }
    return suspended.isEmpty() ? lastResort : suspended;
  }

  /** The available servers of a service, suspended ones included. */
  public List<ServerState> available(String service, long nowNanos) {
    List<ServerState> available = new ArrayList<>();
    for (ServerState server : byService.get(service)) {
      if (!evacuatedZones.contains(server.entry().zone()) && server.isAvailable(nowNanos)) {
        available.add(server);
      }
    }
    return available;
  }

  private void removeExpired(long nowNanos) {
    ImmutableList<ServerState> old =
        servers.values().stream()
            .filter(server -> server.status() != ServerStatus.READY)
            .filter(server -> server.openAttempts() == 0)
            .filter(server -> nowNanos - server.statusSinceNanos() > RETENTION.toNanos())
            .sorted(Comparator.comparing(ServerState::id))
            .collect(ImmutableList.toImmutableList());
    for (ServerState server : old) {
      servers.remove(server.id());
      byService.remove(server.entry().service(), server);
    }
  }
}

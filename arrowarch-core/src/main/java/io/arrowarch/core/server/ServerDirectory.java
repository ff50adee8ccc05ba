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
  /** A server that has gone is forgotten after this long, when nothing waits for it. */
  private static final Duration MEMORY = Duration.ofSeconds(10);

  private final Duration lastResort;
  private final Map<String, ServerState> servers = new HashMap<>();
  private final SetMultimap<String, ServerState> byService = LinkedHashMultimap.create();
  private final Set<String> evacuatedZones = new HashSet<>();

  /**
   * Creates a directory without servers.
   *
   * @param lastResort how long a server that is leaving is still used where its service has no
   *     other
   */
  public ServerDirectory(Duration lastResort) {
    this.lastResort = lastResort;
  }

  /** Takes an entry that was written just now. */
  public boolean onEntry(ServerEntry entry, long nowNanos) {
    return onEntry(entry, nowNanos, nowNanos);
  }

  /**
   * Takes an entry; returns whether it changes what the router believes of the server's life.
   *
   * @param sinceNanos the earliest moment at which it may have been written
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

  /** Notes that a server's entry has gone just now; returns whether the server was known. */
  public boolean onGone(String id, long nowNanos) {
    return onGone(id, nowNanos, nowNanos);
  }

  /**
   * Notes that a server's entry has gone; returns whether the server was known.
   *
   * @param sinceNanos from when its absence is counted
   */
  public boolean onGone(String id, long sinceNanos, long nowNanos) {
    forgetOld(nowNanos);
    ServerState known = servers.get(id);
    if (known == null) {
      return false;
    }
    known.onGone(sinceNanos);
    return true;
  }

  /** Notes that a server has ended, since its place has started again. */
  public void onRestarted(String id, long nowNanos) {
    find(id).ifPresent(server -> server.onRestarted(nowNanos));
  }

  /** Notes that a server says itself, or to another router, that it is leaving. */
  public void onDraining(String id, long nowNanos) {
    find(id).ifPresent(server -> server.onDraining(nowNanos));
  }

  /** From now on the servers of a zone get nothing; returns whether that is news. */
  public boolean onEvacuated(String zone) {
    return evacuatedZones.add(zone);
  }

  /**
   * The servers of a zone may be used again; returns whether that is news. They may have turned
   * cold before their entries say so.
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

  /** The zones whose servers get nothing. */
  public Set<String> evacuatedZones() {
    return Collections.unmodifiableSet(evacuatedZones);
  }

  /** Takes a report of load. */
  public void onReport(String id, LoadReport report, long nowNanos) {
    find(id).ifPresent(server -> server.onReport(report, nowNanos));
  }

  /** Notes the start of an attempt, with the length that is expected of it. */
  public void onStarted(String id, long attempt, long nowNanos, long expectedNanos) {
    find(id).ifPresent(server -> server.onStarted(attempt, nowNanos, expectedNanos));
  }

  /** See {@link ServerState#onEnded}. */
  public void onEnded(
      String id, long attempt, AttemptVerdict verdict, double relativeLatency, long nowNanos) {
    find(id).ifPresent(server -> server.onEnded(attempt, verdict, relativeLatency, nowNanos));
  }

  /** One server. */
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
   * The servers of a service that may take new work, of the best group that has any: there and
   * sound; there but suspended; leaving a moment ago. One whose entry went a moment ago counts as
   * there: entries also lapse, many at a time, while the store is away, and failures tell sooner
   * that a server has ended. Servers of an evacuated zone are in no group, not even as a last
   * resort.
   */
  public List<ServerState> usable(String service, long nowNanos) {
    List<ServerState> sound = new ArrayList<>();
    List<ServerState> suspended = new ArrayList<>();
    List<ServerState> lastResort = new ArrayList<>();
    for (ServerState server : byService.get(service)) {
      if (evacuatedZones.contains(server.entry().zone())) {
        continue;
      }
      if (server.isThere(nowNanos)) {
        (server.isSuspended(nowNanos) ? suspended : sound).add(server);
      } else if (server.isLastResort(nowNanos)) {
        lastResort.add(server);
      }
    }
    if (!sound.isEmpty()) {
      return sound;
    }
    return suspended.isEmpty() ? lastResort : suspended;
  }

  /** The servers of a service that are there, suspended ones included. */
  public List<ServerState> there(String service, long nowNanos) {
    List<ServerState> there = new ArrayList<>();
    for (ServerState server : byService.get(service)) {
      if (!evacuatedZones.contains(server.entry().zone()) && server.isThere(nowNanos)) {
        there.add(server);
      }
    }
    return there;
  }

  private void forgetOld(long nowNanos) {
    ImmutableList<ServerState> old =
        servers.values().stream()
            .filter(server -> server.status() != ServerStatus.READY)
            .filter(server -> server.openAttempts() == 0)
            .filter(server -> nowNanos - server.statusSinceNanos() > MEMORY.toNanos())
            .sorted(Comparator.comparing(ServerState::id))
            .collect(ImmutableList.toImmutableList());
    for (ServerState server : old) {
      servers.remove(server.id());
      byService.remove(server.entry().service(), server);
    }
  }
}

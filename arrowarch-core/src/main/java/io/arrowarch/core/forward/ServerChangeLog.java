package io.arrowarch.core.forward;

import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.server.ServerEntry;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Collects the server changes of one store answer and logs one line for each status. With one line
 * for each server, these would be three quarters of each router's log on a day on which hundreds of
 * servers are replaced.
 */
final class ServerChangeLog {
  /** A line lists at most this many servers; its count covers all. */
  private static final int MAX_LISTED_SERVERS = 200;

  /** The times of older changes are unknown: this router has not known its view for as long. */
  private static final Duration MAX_AGE = Duration.ofMinutes(5);

  private final EventLog events;
  private final RouterClock clock;
  private final Map<String, Changed> changedByStatus = new LinkedHashMap<>();
  private StoreRevision revision = StoreRevision.NONE;

  /** The servers of one status, and the earliest time at which one of them may have taken it. */
  private static final class Changed {
    private final List<String> servers = new ArrayList<>();
    private long sinceNanos = Long.MAX_VALUE;

    void add(ServerEntry entry, long changeNanos) {
      servers.add(entry.id() + ' ' + entry.service());
      sinceNanos = Math.min(sinceNanos, changeNanos);
    }
  }

  ServerChangeLog(EventLog events, RouterClock clock) {
    this.events = events;
    this.clock = clock;
  }

  /**
   * Adds a change.
   *
   * @param sinceNanos the earliest time at which it may have been made
   */
  void add(ServerEntry entry, String status, long sinceNanos, StoreRevision changeRevision) {
    revision = revision.latest(changeRevision);
    changedByStatus.computeIfAbsent(status, unused -> new Changed()).add(entry, sinceNanos);
  }

  /** Logs the changes added since the last call. */
  void write() {
    changedByStatus.forEach(this::write);
    changedByStatus.clear();
  }

  private void write(String status, Changed changed) {
    int count = changed.servers.size();
    Duration age = Duration.ofNanos(clock.nanoTime() - changed.sinceNanos);
    events.log(
        new RouterEvent.ServersChanged(
            status,
            revision,
            count,
            Optional.of(age).filter(known -> known.compareTo(MAX_AGE) < 0),
            changed.servers.subList(0, Math.min(MAX_LISTED_SERVERS, count))));
  }
}

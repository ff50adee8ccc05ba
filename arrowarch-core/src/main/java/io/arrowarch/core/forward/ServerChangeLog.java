package io.arrowarch.core.forward;

import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.server.ServerEntry;
import io.arrowarch.core.store.StoreRevision;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the server changes of one store answer and logs one line for each status. With one line
 * for each server, these would be three quarters of each router's log on a day on which hundreds of
 * servers are replaced.
 */
final class ServerChangeLog {
  /** A line lists at most this many servers; its count covers all. */
  private static final int MAX_LISTED_SERVERS = 200;

  private final EventLog events;
  private final Map<String, List<String>> serversByStatus = new LinkedHashMap<>();
  private StoreRevision revision = StoreRevision.NONE;

  ServerChangeLog(EventLog events) {
    this.events = events;
  }

  void add(ServerEntry entry, String status, StoreRevision changeRevision) {
    revision = revision.latest(changeRevision);
    serversByStatus
        .computeIfAbsent(status, unused -> new ArrayList<>())
        .add(entry.id() + ' ' + entry.service());
  }

  /** Logs the changes added since the last call. */
  void write() {
    if (serversByStatus.isEmpty()) {
      return;
    }
    serversByStatus.forEach(
        (status, servers) ->
            events.log(
                new RouterEvent.ServersChanged(
                    status,
                    revision,
                    servers.size(),
                    servers.subList(0, Math.min(MAX_LISTED_SERVERS, servers.size())))));
    serversByStatus.clear();
  }
}

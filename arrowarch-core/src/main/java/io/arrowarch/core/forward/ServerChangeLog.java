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
 * Gathers the changes of servers that one answer tells into one line for each status. A line for
 * each server was three quarters of all lines of a day in which hundreds of servers are replaced,
 * written by each router.
 */
final class ServerChangeLog {
  /** Servers named in a line; more are counted. */
  private static final int MOST_NAMED = 200;

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

  /** Writes what was added. */
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
                    servers.subList(0, Math.min(MOST_NAMED, servers.size())))));
    serversByStatus.clear();
  }
}

package io.arrowarch.core.forward;

import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.server.ServerEntries;
import io.arrowarch.core.server.ServerEntry;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.RouterClock;
import java.util.Optional;
import java.util.function.Consumer;

/** Takes what the store says of servers into the directory, and logs what is believed since. */
final class ServerFeed {
  /** Whoever wrote a malformed entry may have done so at any time. */
  private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;

  private final ServerDirectory directory;
  private final RouterClock clock;
  private final Consumer<String> onEnded;
  private final ServerChangeLog changes;
  private final ServerEntries entries = new ServerEntries();

  /**
   * Creates a feed that has read nothing.
   *
   * @param onEnded told the id of each server whose name another process has taken
   */
  ServerFeed(
      ServerDirectory directory, RouterClock clock, EventLog events, Consumer<String> onEnded) {
    this.directory = directory;
    this.clock = clock;
    this.onEnded = onEnded;
    this.changes = new ServerChangeLog(events);
  }

  /**
   * Takes an entry.
   *
   * @param sinceNanos the earliest moment at which it may have been written
   * @param isLogged whether a line is written also where the server is merely ready
   */
  void onWritten(
      String key, ServerEntry entry, long sinceNanos, StoreRevision revision, boolean isLogged) {
    if (entries.isStale(key, entry)) {
      // A copy of the store, or a router that is behind, tells what the server has said before.
      changes.add(entry, "stale", revision);
      return;
    }
    Optional<ServerEntry> former =
        entries.put(key, entry).filter(known -> !known.id().equals(entry.id()));
    former.ifPresent(ended -> directory.onRestarted(ended.id(), clock.nanoTime()));
    boolean changed = directory.onEntry(entry, sinceNanos, clock.nanoTime());
    if (former.isPresent()) {
      changes.add(entry, "restarted", revision);
    } else if (changed && (isLogged || entry.draining())) {
      changes.add(entry, entry.draining() ? "draining" : "ready", revision);
    }
    // What is open at a process that has ended without a reset would wait for nothing.
    former.ifPresent(ended -> onEnded.accept(ended.id()));
  }

  /**
   * Takes that an entry has gone.
   *
   * @param sinceNanos from when its absence is counted
   */
  void onGone(String key, long sinceNanos, StoreRevision revision) {
    entries
        .remove(key)
        .filter(entry -> directory.onGone(entry.id(), sinceNanos, clock.nanoTime()))
        .ifPresent(entry -> changes.add(entry, "gone", revision));
  }

  /** A key names no server any more, since what stands there is not an entry of one. */
  void onMalformed(String key, StoreRevision revision) {
    onGone(key, LONG_AGO_NANOS, revision);
  }

  /** Writes what one answer has changed. */
  void onAnswerDelivered() {
    changes.write();
  }
}

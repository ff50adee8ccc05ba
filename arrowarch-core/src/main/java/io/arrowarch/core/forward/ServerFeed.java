package io.arrowarch.core.forward;

import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.server.ServerEntries;
import io.arrowarch.core.server.ServerEntry;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.RouterClock;
import java.util.Optional;
import java.util.function.Consumer;

/** Applies the store's server entries to the directory and logs the resulting changes. */
final class ServerFeed {
  /** The time of a malformed entry is unknown, so it counts as written long ago. */
  private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;

  private final ServerDirectory directory;
  private final RouterClock clock;
  private final Consumer<String> onEnded;
  private final Consumer<String> onVanished;
  private final ServerChangeLog changes;
  private final ServerEntries entries = new ServerEntries();

  /**
   * Creates a feed that has read no entries.
   *
   * @param onEnded receives the id of each server whose name a new process has taken
   * @param onVanished receives the id of each server whose entry is removed
   */
  ServerFeed(
      ServerDirectory directory,
      RouterClock clock,
      EventLog events,
      Consumer<String> onEnded,
      Consumer<String> onVanished) {
    this.directory = directory;
    this.clock = clock;
    this.onEnded = onEnded;
    this.onVanished = onVanished;
    this.changes = new ServerChangeLog(events, clock);
  }

  /**
   * Applies an entry that was written.
   *
   * @param sinceNanos the earliest time at which it may have been written
   * @param isLogged whether to log a server that becomes ready; other changes are always logged
   */
  void onWritten(
      String key, ServerEntry entry, long sinceNanos, StoreRevision revision, boolean isLogged) {
    if (entries.isStale(key, entry)) {
      // A store restored from a backup, or a router that is behind, may repeat an earlier entry.
      changes.add(entry, "stale", sinceNanos, revision);
      return;
    }
    Optional<ServerEntry> former =
        entries.put(key, entry).filter(known -> !known.id().equals(entry.id()));
    former.ifPresent(ended -> directory.onRestarted(ended.id(), clock.nanoTime()));
    boolean changed = directory.onEntry(entry, sinceNanos, clock.nanoTime());
    if (former.isPresent()) {
      changes.add(entry, "restarted", sinceNanos, revision);
    } else if (changed && (isLogged || entry.draining())) {
      changes.add(entry, entry.draining() ? "draining" : "ready", sinceNanos, revision);
    }
    // The old process may have ended without a connection reset: attempts still open there would
    // wait until their deadline.
    former.ifPresent(ended -> onEnded.accept(ended.id()));
  }

  /**
   * Applies the removal of an entry.
   *
   * @param sinceNanos the time from which its absence is counted
   */
  void onGone(String key, long sinceNanos, StoreRevision revision) {
    entries
        .remove(key)
        .filter(entry -> directory.onGone(entry.id(), sinceNanos, clock.nanoTime()))
        .ifPresent(
            entry -> {
              changes.add(entry, "gone", sinceNanos, revision);
              onVanished.accept(entry.id());
            });
  }

  /** Removes the server of a key whose new entry cannot be read. */
  void onMalformed(String key, StoreRevision revision) {
    onGone(key, LONG_AGO_NANOS, revision);
  }

  /** Logs the changes of one answer, once all of it is applied. */
  void onAnswerDelivered() {
    changes.write();
  }
}

package io.arrowarch.core.server;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The newest entry of each key of the directory, ordered by the versions that servers give their
 * own entries. This order holds where that of the store does not: an older copy of the store, or a
 * router that is behind, may have an entry from before the server ended.
 */
public final class ServerEntries {
  /** Maximum number of keys without an entry whose last version is kept. */
  private static final int REMEMBERED = 4_096;

  private final Map<String, ServerEntry> held = new HashMap<>();
  private final Map<String, ServerLife> gone = new LinkedHashMap<>();

  /** Whether an entry is older than the last known entry of its key. */
  public boolean isStale(String key, ServerEntry entry) {
    ServerLife known =
        Optional.ofNullable(held.get(key))
            .map(ServerEntry::life)
            .orElseGet(() -> gone.getOrDefault(key, ServerLife.UNSTATED));
    return entry.life().isBefore(known);
  }

  /** Stores an entry; returns the one that it replaces, if any. */
  public Optional<ServerEntry> put(String key, ServerEntry entry) {
    gone.remove(key);
    return Optional.ofNullable(held.put(key, entry));
  }

  /** Removes the entry of a key, keeping its version; returns the entry, if any. */
  public Optional<ServerEntry> remove(String key) {
    Optional<ServerEntry> removed = Optional.ofNullable(held.remove(key));
    removed.ifPresent(entry -> remember(key, entry.life()));
    return removed;
  }

  private void remember(String key, ServerLife life) {
    gone.put(key, life);
    if (gone.size() > REMEMBERED) {
      gone.remove(gone.keySet().iterator().next());
    }
  }
}

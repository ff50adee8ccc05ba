package io.arrowarch.core.server;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The newest entry of each key of the directory, in the order that servers themselves give to what
 * they say. That order outlasts the store's: an older copy, or a router that is behind, may hold
 * what a server said before it ended.
 */
public final class ServerEntries {
  /** Servers whose entries have gone, of which it is remembered what they said last. */
  private static final int REMEMBERED = 4_096;

  private final Map<String, ServerEntry> held = new HashMap<>();
  private final Map<String, ServerLife> gone = new LinkedHashMap<>();

  /** Whether an entry was written before what is known of its key. */
  public boolean isStale(String key, ServerEntry entry) {
    ServerLife known =
        Optional.ofNullable(held.get(key))
            .map(ServerEntry::life)
            .orElseGet(() -> gone.getOrDefault(key, ServerLife.UNSTATED));
    return entry.life().isBefore(known);
  }

  /** Takes an entry; returns the one that it replaces, if there is any. */
  public Optional<ServerEntry> put(String key, ServerEntry entry) {
    gone.remove(key);
    return Optional.ofNullable(held.put(key, entry));
  }

  /** Notes that a key names no server any more; returns the one that it named, if it did. */
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

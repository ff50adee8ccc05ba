package io.arrowarch.core.server;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The last entry that was stored for each key of the directory. A caller that stores no entry for
 * which {@link #isStale} is true keeps the newest, ordered by the versions that servers give their
 * own entries. This order holds where that of the store does not: an older copy of the store, or a
 * router that is behind, may have an entry from before the server ended.
 */
public final class ServerEntries {
  /** Maximum number of keys without an entry whose last version is kept. */
  private static final int MAXIMUM_REMOVED_VERSIONS = 4_096;

  private final Map<String, ServerEntry> current = new HashMap<>();
  private final Map<String, EntryVersion> removedVersions = new LinkedHashMap<>();

  /** Whether an entry is older than the last known entry of its key. */
  public boolean isStale(String key, ServerEntry entry) {
    EntryVersion known =
        Optional.ofNullable(current.get(key))
            .map(ServerEntry::version)
            .orElseGet(() -> removedVersions.getOrDefault(key, EntryVersion.UNSTATED));
    return entry.version().isBefore(known);
  }

  /** Stores an entry; returns the one that it replaces, if any. */
  public Optional<ServerEntry> put(String key, ServerEntry entry) {
    removedVersions.remove(key);
    return Optional.ofNullable(current.put(key, entry));
  }

  /** Removes the entry of a key, keeping its version; returns the entry, if any. */
  public Optional<ServerEntry> remove(String key) {
    Optional<ServerEntry> removed = Optional.ofNullable(current.remove(key));
    removed.ifPresent(entry -> remember(key, entry.version()));
    return removed;
  }

  private void remember(String key, EntryVersion version) {
    removedVersions.put(key, version);
    if (removedVersions.size() > MAXIMUM_REMOVED_VERSIONS) {
      removedVersions.remove(removedVersions.keySet().iterator().next());
    }
  }
}

package io.arrowarch.core.feed;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keys on which a restored backup of the store and this router's earlier knowledge disagree. Live
 * writers write their keys again shortly after the restore. Until then, and for a bounded time, the
 * known state is kept.
 */
final class ContradictedKeys {
  /**
   * A live writer has written its key again within this time. With a longer one, a server that has
   * left would be used beyond the time within which that must end.
   */
  static final Duration MISSING_KEY_RETENTION = Duration.ofMillis(2_500);

  /** The entry of a writer that has stopped has expired in the store within this time. */
  static final Duration REAPPEARED_KEY_DELAY = Duration.ofSeconds(4);

  private final RouterClock clock;
  private final Map<String, Long> missingSinceNanos = new LinkedHashMap<>();
  private final Map<String, Long> reappearedSinceNanos = new LinkedHashMap<>();

  ContradictedKeys(RouterClock clock) {
    this.clock = clock;
  }

  /** Records that a known key is missing from the backup. */
  void onMissing(String key) {
    if (reappearedSinceNanos.remove(key) == null) {
      missingSinceNanos.putIfAbsent(key, clock.nanoTime());
    }
  }

  /** Records that a key known to be deleted is in the backup. */
  void onReappeared(String key) {
    reappearedSinceNanos.putIfAbsent(key, clock.nanoTime());
  }

  /** Whether a key that is missing from the backup still counts as present. */
  boolean isMissing(String key) {
    return missingSinceNanos.containsKey(key);
  }

  /** Whether a key that is in the backup still counts as deleted. */
  boolean isReappeared(String key) {
    return reappearedSinceNanos.containsKey(key);
  }

  /** Records that a key was written after the restore. */
  void onWritten(String key) {
    missingSinceNanos.remove(key);
    reappearedSinceNanos.remove(key);
  }

  /**
   * Records that a key was deleted after the restore. Returns true if the listener has not been
   * notified that the key is back, so that it needs no notice of the deletion.
   */
  boolean onDeleted(String key) {
    return reappearedSinceNanos.remove(key) != null;
  }

  /**
   * Removes and returns the missing keys that have been kept for {@link #MISSING_KEY_RETENTION}.
   */
  ImmutableList<String> takeExpiredMissing() {
    return takeExpired(missingSinceNanos, MISSING_KEY_RETENTION);
  }

  /** Removes and returns the keys that have been ignored for {@link #REAPPEARED_KEY_DELAY}. */
  ImmutableList<String> takeExpiredReappeared() {
    return takeExpired(reappearedSinceNanos, REAPPEARED_KEY_DELAY);
  }

  private ImmutableList<String> takeExpired(Map<String, Long> sinceNanos, Duration length) {
    long nowNanos = clock.nanoTime();
    ImmutableList<String> expired =
        sinceNanos.entrySet().stream()
            .filter(entry -> nowNanos - entry.getValue() >= length.toNanos())
            .map(Map.Entry::getKey)
            .collect(ImmutableList.toImmutableList());
    expired.forEach(sinceNanos::remove);
    return expired;
  }
}

package io.arrowarch.core.feed;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keys whose state in an older backup of the store, from which the store was restored, contradicts
 * what was known. Live writers write their keys again shortly after the restore. Until then, and
 * for a bounded time, the known state is kept.
 */
final class ContradictedKeys {
  /**
   * A live writer has written its key again within this time. With a longer one, a server that has
   * left would be used beyond the time within which that must end.
   */
  static final Duration KEEP_MISSING = Duration.ofMillis(2_500);

  /** The entry of a writer that has stopped has expired in the store within this time. */
  static final Duration DISTRUST_RETURNED = Duration.ofSeconds(4);

  private final RouterClock clock;
  private final Map<String, Long> missingSinceNanos = new LinkedHashMap<>();
  private final Map<String, Long> returnedSinceNanos = new LinkedHashMap<>();

  ContradictedKeys(RouterClock clock) {
    this.clock = clock;
  }

  /** Records that a known key is missing from the backup. */
  void onMissing(String key) {
    if (returnedSinceNanos.remove(key) == null) {
      missingSinceNanos.putIfAbsent(key, clock.nanoTime());
    }
  }

  /** Records that a key known to be deleted is in the backup. */
  void onReturned(String key) {
    returnedSinceNanos.putIfAbsent(key, clock.nanoTime());
  }

  /** Whether a key that is missing from the backup still counts as present. */
  boolean isMissing(String key) {
    return missingSinceNanos.containsKey(key);
  }

  /** Whether a key that is in the backup still counts as deleted. */
  boolean isReturned(String key) {
    return returnedSinceNanos.containsKey(key);
  }

  /** Records that a key was written after the restore. */
  void onWritten(String key) {
    missingSinceNanos.remove(key);
    returnedSinceNanos.remove(key);
  }

  /**
   * Records that a key was deleted after the restore. Returns true if the listener has not been
   * notified that the key is back, so that it needs no notice of the deletion.
   */
  boolean onDeleted(String key) {
    return returnedSinceNanos.remove(key) != null;
  }

  /** Removes and returns the missing keys that have been kept for {@link #KEEP_MISSING}. */
  ImmutableList<String> takeGone() {
    return takeOlder(missingSinceNanos, KEEP_MISSING);
  }

  /** Removes and returns the keys that have been ignored for {@link #DISTRUST_RETURNED}. */
  ImmutableList<String> takeBack() {
    return takeOlder(returnedSinceNanos, DISTRUST_RETURNED);
  }

  private ImmutableList<String> takeOlder(Map<String, Long> sinceNanos, Duration length) {
    long nowNanos = clock.nanoTime();
    ImmutableList<String> older =
        sinceNanos.entrySet().stream()
            .filter(entry -> nowNanos - entry.getValue() >= length.toNanos())
            .map(Map.Entry::getKey)
            .collect(ImmutableList.toImmutableList());
    older.forEach(sinceNanos::remove);
    return older;
  }
}

package io.arrowarch.core.feed;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keys of which an older copy of the store says otherwise than what was known. Their writers write
 * again within a moment; until then, and for a bounded time, what was known holds.
 */
final class ContradictedKeys {
  /**
   * A writer that lives has written again by then. Longer would use a server that has left beyond
   * the time within which that must end.
   */
  static final Duration KEEP_MISSING = Duration.ofMillis(2_500);

  /** The entry of a writer that has ended has lapsed by then. */
  static final Duration DISTRUST_RETURNED = Duration.ofSeconds(4);

  private final RouterClock clock;
  private final Map<String, Long> missingSinceNanos = new LinkedHashMap<>();
  private final Map<String, Long> returnedSinceNanos = new LinkedHashMap<>();

  ContradictedKeys(RouterClock clock) {
    this.clock = clock;
  }

  /** A key that was known is not in the copy. */
  void onMissing(String key) {
    if (returnedSinceNanos.remove(key) == null) {
      missingSinceNanos.putIfAbsent(key, clock.nanoTime());
    }
  }

  /** A key that was known to have gone is in the copy. */
  void onReturned(String key) {
    returnedSinceNanos.putIfAbsent(key, clock.nanoTime());
  }

  /** Whether a key that is not in the copy still counts as there. */
  boolean isMissing(String key) {
    return missingSinceNanos.containsKey(key);
  }

  /** Whether a key that is in the copy still counts as gone. */
  boolean isReturned(String key) {
    return returnedSinceNanos.containsKey(key);
  }

  /** A key was written since. */
  void onWritten(String key) {
    missingSinceNanos.remove(key);
    returnedSinceNanos.remove(key);
  }

  /** A key was deleted since; returns whether the listener had not been told that it is there. */
  boolean onDeleted(String key) {
    return returnedSinceNanos.remove(key) != null;
  }

  /** The missing keys whose time is over, once. */
  ImmutableList<String> takeGone() {
    return takeOlder(missingSinceNanos, KEEP_MISSING);
  }

  /** The returned keys whose time is over, once. */
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

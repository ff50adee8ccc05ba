package io.arrowarch.core.suspect;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Attempts that ended without showing whether their servers survived them: cancelled ones, and ones
 * whose servers stayed silent or sent bytes that are no answer. They are kept until it would be
 * known that their servers have ended.
 */
final class UnresolvedAttempts {
  /**
   * The entry of a crashed server lapses after three missed heartbeats, which is within four
   * seconds; the rest allows for delays of the store and of the routers that pass its news on.
   */
  private static final Duration LIFETIME = Duration.ofSeconds(6);

  private static final int MAXIMUM_ATTEMPTS = 8_192;
  private static final int MAXIMUM_ENDED_SERVERS = 4_096;

  private final SetMultimap<String, Attempt> byServer = LinkedHashMultimap.create();
  private final Set<Attempt> oldestFirst = new LinkedHashSet<>();
  private final Map<String, Long> endedNanos = new LinkedHashMap<>();

  /**
   * An attempt without an outcome. Equal ones are the same request, sent twice to a server at the
   * same time.
   *
   * @param sentNanos when it was sent, on the router's monotonic clock
   * @param byCanary whether it was the request's canary
   * @param abandonedNanos when the router stopped waiting for it
   */
  record Attempt(
      RequestKey key, String server, long sentNanos, boolean byCanary, long abandonedNanos) {}

  /**
   * Adds an attempt.
   *
   * @return whether its server is known to have ended after the attempt was sent; it is then not
   *     kept
   */
  boolean add(Attempt attempt) {
    removeExpired(attempt.abandonedNanos());
    Long ended = endedNanos.get(attempt.server());
    if (ended != null && ended > attempt.sentNanos()) {
      return true;
    }
    if (oldestFirst.size() >= MAXIMUM_ATTEMPTS) {
      removeOldest();
    }
    if (oldestFirst.add(attempt)) {
      byServer.put(attempt.server(), attempt);
    }
    return false;
  }

  /** Removes and returns the attempts at a server whose process has ended. */
  ImmutableList<Attempt> onServerEnded(String server, long nowNanos) {
    removeExpired(nowNanos);
    if (endedNanos.size() < MAXIMUM_ENDED_SERVERS) {
      endedNanos.putIfAbsent(server, nowNanos);
    }
    ImmutableList<Attempt> attempts = ImmutableList.copyOf(byServer.removeAll(server));
    attempts.forEach(oldestFirst::remove);
    return attempts;
  }

  private void removeExpired(long nowNanos) {
    long oldestNanos = nowNanos - LIFETIME.toNanos();
    while (!oldestFirst.isEmpty() && oldest().abandonedNanos() < oldestNanos) {
      removeOldest();
    }
    Iterator<Long> ended = endedNanos.values().iterator();
    while (ended.hasNext() && ended.next() < oldestNanos) {
      ended.remove();
    }
  }

  private Attempt oldest() {
    return oldestFirst.iterator().next();
  }

  private void removeOldest() {
    Attempt oldest = oldest();
    oldestFirst.remove(oldest);
    byServer.remove(oldest.server(), oldest);
  }
}

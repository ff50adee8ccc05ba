package io.arrowarch.core.suspect;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The records of requests, at most a given number. Requests that may run and requests that may not
 * are kept apart, so that many harmless requests do not push out a crashing one.
 */
final class SuspectTable {
  private final int maximumRequests;

  /** Requests that may run, the one that changed or was seen longest ago first. */
  private final Map<RequestKey, SuspectRecord> free = new LinkedHashMap<>();

  /** Suspected and quarantined requests, in the same order. */
  private final Map<RequestKey, SuspectRecord> held = new LinkedHashMap<>();

  SuspectTable(int maximumRequests) {
    this.maximumRequests = maximumRequests;
  }

  boolean isEmpty() {
    return free.isEmpty() && held.isEmpty();
  }

  Optional<SuspectRecord> find(RequestKey key) {
    SuspectRecord record = held.get(key);
    return Optional.ofNullable(record == null ? free.get(key) : record);
  }

  /** Adds a record, or moves it to where it belongs now, as the one seen last. */
  void put(RequestKey key, SuspectRecord record, long nowNanos) {
    free.remove(key);
    held.remove(key);
    if (free.size() + held.size() >= maximumRequests) {
      evict();
    }
    (record.standing(nowNanos) == Standing.FREE ? free : held).put(key, record);
  }

  /** Removes the records that nothing needs any more. */
  void removeExpired(long nowNanos) {
    free.values().removeIf(record -> record.isExpired(nowNanos));
    held.values().removeIf(record -> record.isExpired(nowNanos));
  }

  /** The suspected and quarantined requests, the one seen last first. */
  ImmutableList<RequestKey> held() {
    return ImmutableList.copyOf(Lists.reverse(ImmutableList.copyOf(held.keySet())));
  }

  int heldCount() {
    return held.size();
  }

  private void evict() {
    Map<RequestKey, SuspectRecord> evicted = free.isEmpty() ? held : free;
    evicted.remove(evicted.keySet().iterator().next());
  }
}

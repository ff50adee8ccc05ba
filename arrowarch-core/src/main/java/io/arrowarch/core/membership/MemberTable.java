package io.arrowarch.core.membership;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.MemberRecord.State;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The other routers known to this one, with the newest claim about each. */
final class MemberTable {
  /**
   * Dead members are kept this long: an outdated claim must not add them again as alive, and after
   * a network split heals, their addresses are pinged to find them.
   */
  private static final Duration DEAD_RETENTION = Duration.ofMinutes(10);

  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /** Cached until the next change, since it is read for each part of a search. */
  private Optional<ImmutableList<MemberRecord>> reachable = Optional.empty();

  private record Entry(MemberRecord record, long sinceNanos) {}

  /** Merges a claim; returns whether it changed the table. */
  boolean merge(MemberRecord claim, long nowNanos) {
    Entry known = entries.get(claim.id());
    if (known != null && !claim.overrides(known.record())) {
      return false;
    }
    entries.put(claim.id(), new Entry(claim, nowNanos));
    reachable = Optional.empty();
    return true;
  }

  Optional<MemberRecord> find(String id) {
    return Optional.ofNullable(entries.get(id)).map(Entry::record);
  }

  ImmutableList<MemberRecord> all() {
    return entries.values().stream().map(Entry::record).collect(ImmutableList.toImmutableList());
  }

  /** Members that are not known to be dead; the same list instance until the table changes. */
  ImmutableList<MemberRecord> reachable() {
    if (reachable.isEmpty()) {
      reachable = Optional.of(collectReachable());
    }
    return reachable.get();
  }

  private ImmutableList<MemberRecord> collectReachable() {
    ImmutableList.Builder<MemberRecord> collected = ImmutableList.builder();
    for (Entry entry : entries.values()) {
      if (entry.record().state() != State.DEAD) {
        collected.add(entry.record());
      }
    }
    return collected.build();
  }

  ImmutableList<MemberRecord> dead() {
    return all().stream()
        .filter(member -> member.state() == State.DEAD)
        .collect(ImmutableList.toImmutableList());
  }

  /** Suspects that have not refuted the suspicion within the timeout. */
  ImmutableList<MemberRecord> overdueSuspects(Duration suspicionTimeout, long nowNanos) {
    return entries.values().stream()
        .filter(entry -> entry.record().state() == State.SUSPECT)
        .filter(entry -> nowNanos - entry.sinceNanos() >= suspicionTimeout.toNanos())
        .map(Entry::record)
        .collect(ImmutableList.toImmutableList());
  }

  void removeExpiredDead(long nowNanos) {
    entries
        .values()
        .removeIf(
            entry ->
                entry.record().state() == State.DEAD
                    && nowNanos - entry.sinceNanos() >= DEAD_RETENTION.toNanos());
  }
}

package io.arrowarch.core.tenant;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerGroup;
import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Counts, for all routers, the requests of the tenants that are assigned to this router, and tells
 * the others which of these tenants are near their limits.
 */
final class TenantCounter {
  /**
   * For how long routers ask the counting router about each request of a tenant after it was near
   * its limit.
   */
  static final Duration LEASE = Duration.ofSeconds(2);

  /** While the tenant is near its limit, the lease is renewed this often within its duration. */
  private static final int RENEWALS_PER_LEASE = 2;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final LimitRules rules;
  private final String ownId;
  private final String ownZone;
  private final CountingRouters routers;
  private final PeerGroup peers;
  private final Function<String, Optional<TenantLimit>> limits;
  private final RouterClock clock;
  private final EventLog events;
  private final Map<String, TenantCount> counts = new HashMap<>();
  private final Map<String, Long> announcedNanos = new HashMap<>();

  /** A decision on one request; the durations are as in {@link PeerBody.TenantVerdict}. */
  private record Decision(boolean granted, long retryAfterNanos, long refusedNanos) {
    private static final Decision GRANTED = new Decision(true, 0, 0);
  }

  /**
   * Creates a counter.
   *
   * @param limits returns the limit of a tenant by its name, from the configuration in force here
   */
  TenantCounter(
      LimitRules rules,
      String ownId,
      String ownZone,
      CountingRouters routers,
      PeerGroup peers,
      Function<String, Optional<TenantLimit>> limits,
      RouterClock clock,
      EventLog events) {
    this.rules = rules;
    this.ownId = ownId;
    this.ownZone = ownZone;
    this.routers = routers;
    this.peers = peers;
    this.limits = limits;
    this.clock = clock;
    this.events = events;
  }

  /** Charges what a router reports, and decides on the request that it asks for, if any. */
  PeerBody.TenantVerdict onUse(String router, long incarnation, PeerBody.TenantUse message) {
    long nowNanos = clock.nanoTime();
    ImmutableList.Builder<PeerBody.Limited> near = ImmutableList.builder();
    for (PeerBody.Use use : message.uses()) {
      countOf(use.tenant(), nowNanos)
          .ifPresent(
              count ->
                  count.onUse(
                      router,
                      incarnation,
                      message.number(),
                      use.total(),
                      use.unacknowledged(),
                      nowNanos));
    }
    Decision decision = decide(router, message.asks(), nowNanos);
    for (PeerBody.Use use : message.uses()) {
      announceIfNearLimit(use.tenant(), nowNanos).ifPresent(near::add);
    }
    return new PeerBody.TenantVerdict(
        message.number(),
        decision.granted(),
        millis(decision.retryAfterNanos()),
        millis(decision.refusedNanos()),
        near.build());
  }

  /** Removes the counts of tenants that have no limit any more. */
  void forgetUnlimited() {
    counts.keySet().removeIf(tenant -> limits.apply(tenant).isEmpty());
    announcedNanos.keySet().retainAll(counts.keySet());
  }

  /**
   * Decides on one request. The decision is also to grant if the message asks for no request, or if
   * this router's configuration has no limit for the tenant, even if the asking router's has one.
   */
  private Decision decide(String router, String asks, long nowNanos) {
    Optional<TenantCount> asked = asks.isEmpty() ? Optional.empty() : countOf(asks, nowNanos);
    if (asked.isEmpty() || asked.get().grant(router, nowNanos)) {
      return Decision.GRANTED;
    }
    TenantCount count = asked.get();
    return new Decision(
        false, count.reserveRetryDelayNanos(nowNanos), count.refusedNanos(nowNanos));
  }

  private Optional<TenantCount> countOf(String tenant, long nowNanos) {
    Optional<TenantLimit> limit = limits.apply(tenant);
    if (limit.isEmpty()) {
      return Optional.empty();
    }
    double share = routers.shareFor(tenant);
    TenantCount count =
        counts.computeIfAbsent(
            tenant, name -> new TenantCount(rules, limit.get(), share, nowNanos));
    count.reconfigure(limit.get(), share, nowNanos);
    return Optional.of(count);
  }

  private Optional<PeerBody.Limited> announceIfNearLimit(String tenant, long nowNanos) {
    TenantCount count = counts.get(tenant);
    if (count == null || !count.isNearLimit(nowNanos)) {
      if (announcedNanos.remove(tenant) != null) {
        log(tenant, "released", nowNanos);
      }
      return Optional.empty();
    }
    PeerBody.Limited limited = new PeerBody.Limited(tenant, LEASE.toMillis());
    Long announced = announcedNanos.get(tenant);
    if (announced == null || nowNanos - announced > LEASE.toNanos() / RENEWALS_PER_LEASE) {
      if (announced == null) {
        log(tenant, "near", nowNanos);
      }
      announcedNanos.put(tenant, nowNanos);
      announce(limited);
    }
    return Optional.of(limited);
  }

  private void log(String tenant, String state, long nowNanos) {
    double left =
        Optional.ofNullable(counts.get(tenant)).map(c -> c.remaining(nowNanos)).orElse(0.0);
    events.log(new RouterEvent.TenantChanged(tenant, state, ownId, left));
  }

  /**
   * Sends the notice to all routers of the own zone, and to one router of each other zone, which
   * forwards it within its zone.
   */
  private void announce(PeerBody.Limited limited) {
    ImmutableList<PeerBody.Limited> limits = ImmutableList.of(limited);
    Set<String> notifiedZones = new HashSet<>();
    for (LiveRouter router : peers.liveRouters()) {
      boolean own = router.zone().equals(ownZone);
      if (own || notifiedZones.add(router.zone())) {
        peers.send(router.address(), new PeerBody.TenantNotice(limits, !own));
      }
    }
  }

  /** Rounds up, so that a caller does not retry slightly too early. */
  private static long millis(long nanos) {
    return (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
  }
}

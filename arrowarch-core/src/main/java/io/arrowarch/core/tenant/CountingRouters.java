package io.arrowarch.core.tenant;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.PeerGroup;
import io.arrowarch.core.time.RouterClock;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns tenants to the routers that count their requests, by rendezvous hashing: a router that
 * joins or leaves moves the counts of few tenants, and routers that know the same peers agree.
 */
final class CountingRouters {
  /** A router that did not answer is not asked again for this long. */
  private static final Duration AVOIDANCE_PERIOD = Duration.ofSeconds(2);

  /**
   * For how long the largest known fleet size is remembered. Routers that disappear within this
   * time may be on the other side of a network split.
   */
  private static final Duration FLEET_SIZE_RETENTION = Duration.ofSeconds(60);

  /** Routers that are tried for a tenant; if none answers, this router counts. */
  private static final int CANDIDATES = 3;

  /**
   * Maximum share of the limit that a router grants while it counts in place of another that it
   * still lists. With this share, two sides of a network split that goes unnoticed for three
   * seconds together stay within the tolerance of a window.
   */
  private static final double SUBSTITUTE_SHARE = 0.35;

  private static final HashFunction HASH = Hashing.murmur3_128();

  private final String ownId;
  private final PeerGroup peers;
  private final RouterClock clock;
  private final Map<String, Long> failedNanos = new HashMap<>();
  private final Map<String, ImmutableList<Candidate>> candidatesByTenant = new HashMap<>();
  private ImmutableList<LiveRouter> rankedFrom = ImmutableList.of();
  private int largestFleet;
  private long largestFleetNanos;

  /**
   * A router that may count a tenant.
   *
   * @param address IP:PORT for peers; empty for this router itself
   */
  record Candidate(String id, Optional<String> address) {}

  CountingRouters(String ownId, PeerGroup peers, RouterClock clock) {
    this.ownId = ownId;
    this.peers = peers;
    this.clock = clock;
    this.largestFleetNanos = clock.nanoTime();
  }

  /** Returns the router that counts a tenant now; this one if no candidate answers. */
  Candidate routerFor(String tenant) {
    clearOutdatedRankings();
    for (Candidate candidate : candidatesByTenant.computeIfAbsent(tenant, this::rank)) {
      if (candidate.address().isEmpty() || !isAvoided(candidate.id())) {
        return candidate;
      }
    }
    return self();
  }

  /**
   * Returns the part of the fleet, from 0 to 1, that this router counts a tenant for. A router that
   * receives reports although another is ranked first does not know whether that one has died or
   * still counts for the rest of the fleet.
   */
  double shareFor(String tenant) {
    clearOutdatedRankings();
    Candidate first = candidatesByTenant.computeIfAbsent(tenant, this::rank).get(0);
    return first.address().isEmpty() ? share() : Math.min(share(), SUBSTITUTE_SHARE);
  }

  /** Records that a router sent no verdict in time. */
  void onFailed(String id) {
    failedNanos.keySet().removeIf(failed -> !isAvoided(failed));
    failedNanos.put(id, clock.nanoTime());
  }

  /**
   * Returns the reachable part of the fleet, from 0 to 1: the routers that are listed now, divided
   * by the largest number listed lately.
   */
  private double share() {
    long nowNanos = clock.nanoTime();
    int reachable = 1 + peers.liveRouters().size();
    boolean forgotten = nowNanos - largestFleetNanos > FLEET_SIZE_RETENTION.toNanos();
    if (reachable >= largestFleet || forgotten) {
      largestFleet = reachable;
      largestFleetNanos = nowNanos;
    }
    return (double) reachable / largestFleet;
  }

  /** Returns one router's share of the fleet, from 0 to 1. */
  double ownShare() {
    // Updates largestFleet.
    double unused = share();
    return 1.0 / largestFleet;
  }

  private Candidate self() {
    return new Candidate(ownId, Optional.empty());
  }

  /** Compares lists by identity: comparing their members would cost as much as ranking again. */
  @SuppressWarnings("ReferenceEquality")
  private void clearOutdatedRankings() {
    ImmutableList<LiveRouter> liveRouters = peers.liveRouters();
    if (liveRouters != rankedFrom) {
      rankedFrom = liveRouters;
      candidatesByTenant.clear();
    }
  }

  private ImmutableList<Candidate> rank(String tenant) {
    List<Candidate> all = new ArrayList<>();
    all.add(self());
    for (LiveRouter router : rankedFrom) {
      all.add(new Candidate(router.id(), Optional.of(router.address())));
    }
    all.sort(Comparator.comparingLong(candidate -> weight(tenant, candidate.id())));
    return ImmutableList.copyOf(all.subList(0, Math.min(CANDIDATES, all.size())));
  }

  private boolean isAvoided(String id) {
    Long failed = failedNanos.get(id);
    return failed != null && clock.nanoTime() - failed < AVOIDANCE_PERIOD.toNanos();
  }

  private static long weight(String tenant, String router) {
    return HASH.newHasher()
        .putString(tenant, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(router, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}

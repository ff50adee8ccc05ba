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
 * Which router counts a tenant: the first by a hash of both, so that a router that comes or goes
 * changes the counting of few tenants, and routers that know the same others agree.
 */
final class CountingRouters {
  /** One that did not answer is left for this long. */
  private static final Duration AVOIDANCE = Duration.ofSeconds(2);

  /** A router that is gone may be on the other side of a split for this long. */
  private static final Duration SIZE_MEMORY = Duration.ofSeconds(60);

  /** Routers that are tried for a tenant; this one counts where none of them answers. */
  private static final int CANDIDATES = 3;

  /**
   * What a router counts with in place of another until it knows that that one is gone: with it,
   * two sides of a split that is not noticed for three seconds stay within the tolerance of a
   * window.
   */
  private static final double SUBSTITUTE_SHARE = 0.35;

  private static final HashFunction HASH = Hashing.murmur3_128();

  private final String ownId;
  private final PeerGroup peers;
  private final RouterClock clock;
  private final Map<String, Long> failedNanos = new HashMap<>();
  private final Map<String, ImmutableList<Candidate>> byTenant = new HashMap<>();
  private ImmutableList<LiveRouter> rankedFrom = ImmutableList.of();
  private int most;
  private long mostNanos;

  /**
   * A router that may count a tenant.
   *
   * @param address IP:PORT for peers; empty: this router itself
   */
  record Candidate(String id, Optional<String> address) {}

  CountingRouters(String ownId, PeerGroup peers, RouterClock clock) {
    this.ownId = ownId;
    this.peers = peers;
    this.clock = clock;
    this.mostNanos = clock.nanoTime();
  }

  /** The router that counts a tenant now; this one where no other answers. */
  Candidate of(String tenant) {
    forgetRankingOfOthers();
    for (Candidate candidate : byTenant.computeIfAbsent(tenant, this::rank)) {
      if (candidate.address().isEmpty() || !isAvoided(candidate.id())) {
        return candidate;
      }
    }
    return self();
  }

  /**
   * The part of the fleet that this router counts a tenant for. One that is told although another
   * comes first does not know whether that one has died or still counts for the rest of the fleet.
   */
  double shareFor(String tenant) {
    forgetRankingOfOthers();
    Candidate first = byTenant.computeIfAbsent(tenant, this::rank).get(0);
    return first.address().isEmpty() ? share() : Math.min(share(), SUBSTITUTE_SHARE);
  }

  /** Notes that a router gave no verdict. */
  void onFailed(String id) {
    failedNanos.put(id, clock.nanoTime());
  }

  /**
   * The part of the fleet that can be counted here: the routers that answer, of the most that there
   * were lately.
   */
  private double share() {
    long nowNanos = clock.nanoTime();
    int reachable = 1 + peers.liveRouters().size();
    boolean forgotten = nowNanos - mostNanos > SIZE_MEMORY.toNanos();
    if (reachable >= most || forgotten) {
      most = reachable;
      mostNanos = nowNanos;
    }
    return (double) reachable / most;
  }

  /** The part of the fleet that this router is by itself. */
  double ownShare() {
    double unused = share();
    return 1.0 / most;
  }

  private Candidate self() {
    return new Candidate(ownId, Optional.empty());
  }

  /** Whether it is the very list: comparing its members would cost as much as ranking them anew. */
  @SuppressWarnings("ReferenceEquality")
  private void forgetRankingOfOthers() {
    ImmutableList<LiveRouter> liveRouters = peers.liveRouters();
    if (liveRouters != rankedFrom) {
      rankedFrom = liveRouters;
      byTenant.clear();
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
    return failed != null && clock.nanoTime() - failed < AVOIDANCE.toNanos();
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

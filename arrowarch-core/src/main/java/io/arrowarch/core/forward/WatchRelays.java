package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.arrowarch.core.feed.FeedSource;
import io.arrowarch.core.peer.LiveRouter;
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
 * Chooses the watch relays: routers that watch the store and pass its changes on to the others.
 * Each large group of routers has some, chosen by a hash of the router ids. The other routers
 * follow the relays instead of the store, which saves the store most of its calls. In a small group
 * every router watches the store, since there is little to save. A group is the routers of a zone.
 * If every view must be fresh, the routers of a small zone share relays with all routers instead,
 * those of other zones included. Without {@link Mechanism#FOLLOWED_LOOKOUTS} every router watches
 * the store.
 */
final class WatchRelays implements FeedSource {
  private static final int MIN_RELAYS = 2;

  /** In a group with fewer routers, each router watches the store. */
  private static final int LARGE_GROUP_ROUTERS = 6;

  private static final int ROUTERS_PER_RELAY_IN_SMALL_ZONE = 4;
  private static final int ROUTERS_PER_RELAY_IN_LARGE_ZONE = 8;

  /** How long a relay that failed to answer is not followed. */
  private static final Duration AVOIDANCE_PERIOD = Duration.ofSeconds(2);

  private static final HashFunction HASH = Hashing.murmur3_128();

  private final ForwardOptions options;
  private final RouterGroup routers;
  private final RouterClock clock;
  private final long ownIdHash;
  private final Map<String, Long> failedNanos = new HashMap<>();
  private ImmutableList<LiveRouter> cachedPlanSource = ImmutableList.of();
  private Optional<RelayPlan> cachedPlan = Optional.empty();
  private int nextContact;
  private int nextRelayAfterGap;

  /**
   * The relays of a group as this router sees them.
   *
   * @param allWatchStore whether every router follows the store itself
   * @param isRelay whether this router is a relay
   * @param relays addresses of the relays among the other routers. If this router is a relay, the
   *     list also has the router that would replace it.
   */
  private record RelayPlan(boolean allWatchStore, boolean isRelay, ImmutableList<String> relays) {}

  /** Another router and the hash that ranks it. */
  private record Ranked(String address, long idHash) {}

  WatchRelays(ForwardOptions options, RouterGroup routers, RouterClock clock) {
    this.options = options;
    this.routers = routers;
    this.clock = clock;
    this.ownIdHash = idHash(options.id());
  }

  /** Whether this router is a relay. It is one while it knows no other router of its group. */
  @Override
  public boolean isRelay() {
    return plan().isRelay();
  }

  @Override
  public boolean isFollowed() {
    return !plan().allWatchStore() && plan().isRelay();
  }

  @Override
  public boolean usesRelays() {
    return !plan().allWatchStore() && !plan().isRelay();
  }

  @Override
  public Optional<String> relayToFollow() {
    RelayPlan plan = plan();
    if (plan.allWatchStore()) {
      return Optional.empty();
    }
    ImmutableList<String> relays = plan.relays();
    // Routers start at different relays, so that the followers spread evenly.
    int first = (int) Math.floorMod(ownIdHash, (long) relays.size());
    for (int i = 0; i < relays.size(); i++) {
      String relay = relays.get((first + i) % relays.size());
      if (!isAvoided(relay)) {
        return Optional.of(relay);
      }
    }
    return Optional.empty();
  }

  @Override
  public Optional<String> relayToAskAfterGap() {
    RelayPlan plan = plan();
    if (plan.allWatchStore() || plan.isRelay()) {
      return Optional.empty();
    }
    ImmutableList<String> relays = plan.relays();
    int next = (int) Math.floorMod(ownIdHash + nextRelayAfterGap++, (long) relays.size());
    return Optional.of(relays.get(next));
  }

  /** Returns the plan for the routers now known; rebuilt only when that list changes. */
  @SuppressWarnings("ReferenceEquality")
  private RelayPlan plan() {
    ImmutableList<LiveRouter> liveRouters = routers.liveRouters();
    if (cachedPlan.isEmpty() || liveRouters != cachedPlanSource) {
      cachedPlanSource = liveRouters;
      cachedPlan = Optional.of(buildPlan());
    }
    return cachedPlan.get();
  }

  private RelayPlan buildPlan() {
    List<Ranked> others = new ArrayList<>();
    for (LiveRouter router : groupPeers()) {
      others.add(new Ranked(router.address(), idHash(router.id())));
    }
    int groupSize = others.size() + 1;
    int relayCount = relayCount(groupSize);
    long before = others.stream().filter(router -> router.idHash() < ownIdHash).count();
    others.sort(Comparator.comparingLong(Ranked::idHash));
    ImmutableList<String> relays =
        others.stream()
            .limit(relayCount)
            .map(Ranked::address)
            .collect(ImmutableList.toImmutableList());
    return new RelayPlan(allWatchStore(groupSize), before < relayCount, relays);
  }

  @Override
  public void onFailed(String address) {
    failedNanos.keySet().removeIf(failed -> !isAvoided(failed));
    failedNanos.put(address, clock.nanoTime());
  }

  private boolean isAvoided(String address) {
    Long failed = failedNanos.get(address);
    return failed != null && clock.nanoTime() - failed < AVOIDANCE_PERIOD.toNanos();
  }

  /** Whether every router of a group of this size follows the store itself. */
  private boolean allWatchStore(int groupSize) {
    return groupSize < LARGE_GROUP_ROUTERS || !options.has(Mechanism.FOLLOWED_LOOKOUTS);
  }

  private int relayCount(int groupSize) {
    int routersPerRelay =
        allWatchStore(groupSize)
            ? ROUTERS_PER_RELAY_IN_SMALL_ZONE
            : ROUTERS_PER_RELAY_IN_LARGE_ZONE;
    return Math.max(MIN_RELAYS, groupSize / routersPerRelay);
  }

  /**
   * The other routers that share relays with this one: those of its zone. If the zone is small and
   * every view must be fresh, all routers share relays, since otherwise each small zone would need
   * its own.
   */
  private List<LiveRouter> groupPeers() {
    List<LiveRouter> ofZone = new ArrayList<>();
    for (LiveRouter router : routers.liveRouters()) {
      if (router.zone().equals(options.zone())) {
        ofZone.add(router);
      }
    }
    boolean small = ofZone.size() + 1 < LARGE_GROUP_ROUTERS;
    return small && options.store().everyView() ? new ArrayList<>(routers.liveRouters()) : ofZone;
  }

  @Override
  public Optional<String> routerToAskAtStart() {
    ImmutableList<String> contacts = routers.contacts();
    if (contacts.isEmpty()) {
      return Optional.empty();
    }
    int next = (int) Math.floorMod(ownIdHash + nextContact++, (long) contacts.size());
    return Optional.of(contacts.get(next));
  }

  private static long idHash(String router) {
    return HASH.hashString(router, StandardCharsets.UTF_8).asLong();
  }
}

package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.arrowarch.core.feed.FeedSource;
import io.arrowarch.core.peer.NearbyRouter;
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
 * Each large zone has some, chosen by a hash of the router ids. The other routers follow the relays
 * instead of the store, which saves the store most of its calls. In a small zone every router
 * watches the store, since there is little to save.
 */
final class Lookouts implements FeedSource {
  private static final int FEWEST = 2;

  /** Zones with fewer routers are small: each of their routers watches the store. */
  private static final int LARGE_ZONE = 6;

  private static final int ROUTERS_FOR_EACH_IN_SMALL_ZONE = 4;
  private static final int ROUTERS_FOR_EACH_IN_LARGE_ZONE = 8;

  /** How long a relay that failed to answer is not chosen. */
  private static final Duration AVOIDANCE = Duration.ofSeconds(2);

  private static final HashFunction HASH = Hashing.murmur3_128();

  private final ForwardOptions options;
  private final RouterGroup routers;
  private final RouterClock clock;
  private final long ownWeight;
  private final Map<String, Long> failedNanos = new HashMap<>();
  private ImmutableList<NearbyRouter> madeFrom = ImmutableList.of();
  private Optional<View> made = Optional.empty();
  private int askedAtStart;
  private int askedAfterGap;

  /**
   * The relays of a group as this router sees them.
   *
   * @param isSmall whether every router follows the store itself
   * @param isLookout whether this router is a relay
   * @param lookouts addresses of the relays among the other routers. If this router is a relay, the
   *     list also has the router that would replace it.
   */
  private record View(boolean isSmall, boolean isLookout, ImmutableList<String> lookouts) {}

  /** Another router and the hash that ranks it. */
  private record Ranked(String address, long weight) {}

  Lookouts(ForwardOptions options, RouterGroup routers, RouterClock clock) {
    this.options = options;
    this.routers = routers;
    this.clock = clock;
    this.ownWeight = weight(options.id());
  }

  /** Whether this router is a relay. It is one while it knows no other router of its group. */
  @Override
  public boolean isLookout() {
    return view().isLookout();
  }

  @Override
  public boolean isFollowed() {
    return !view().isSmall() && view().isLookout();
  }

  @Override
  public boolean hasLookouts() {
    return !view().isSmall() && !view().isLookout();
  }

  @Override
  public Optional<String> lookoutToFollow() {
    View view = view();
    if (view.isSmall()) {
      return Optional.empty();
    }
    ImmutableList<String> lookouts = view.lookouts();
    // Routers start at different relays, so that the followers spread evenly.
    int first = (int) Math.floorMod(ownWeight, (long) lookouts.size());
    for (int i = 0; i < lookouts.size(); i++) {
      String lookout = lookouts.get((first + i) % lookouts.size());
      if (!isAvoided(lookout)) {
        return Optional.of(lookout);
      }
    }
    return Optional.empty();
  }

  @Override
  public Optional<String> lookoutToAskAfterGap() {
    View view = view();
    if (view.isSmall() || view.isLookout()) {
      return Optional.empty();
    }
    ImmutableList<String> lookouts = view.lookouts();
    int next = (int) Math.floorMod(ownWeight + askedAfterGap++, (long) lookouts.size());
    return Optional.of(lookouts.get(next));
  }

  /** Returns the view for the routers now known; rebuilt only when that list changes. */
  @SuppressWarnings("ReferenceEquality")
  private View view() {
    ImmutableList<NearbyRouter> nearby = routers.nearby();
    if (made.isEmpty() || nearby != madeFrom) {
      madeFrom = nearby;
      made = Optional.of(makeView());
    }
    return made.get();
  }

  private View makeView() {
    List<Ranked> others = new ArrayList<>();
    for (NearbyRouter router : othersOfGroup()) {
      others.add(new Ranked(router.address(), weight(router.id())));
    }
    int ofGroup = others.size() + 1;
    int count = count(ofGroup);
    long before = others.stream().filter(router -> router.weight() < ownWeight).count();
    others.sort(Comparator.comparingLong(Ranked::weight));
    ImmutableList<String> lookouts =
        others.stream().limit(count).map(Ranked::address).collect(ImmutableList.toImmutableList());
    return new View(isSmall(ofGroup), before < count, lookouts);
  }

  @Override
  public void onFailed(String address) {
    failedNanos.put(address, clock.nanoTime());
  }

  private boolean isAvoided(String address) {
    Long failed = failedNanos.get(address);
    return failed != null && clock.nanoTime() - failed < AVOIDANCE.toNanos();
  }

  /** Whether every router of a group of this size follows the store itself. */
  private boolean isSmall(int ofGroup) {
    return ofGroup < LARGE_ZONE || !options.has(Mechanism.FOLLOWED_LOOKOUTS);
  }

  private int count(int ofGroup) {
    int routersForEach =
        isSmall(ofGroup) ? ROUTERS_FOR_EACH_IN_SMALL_ZONE : ROUTERS_FOR_EACH_IN_LARGE_ZONE;
    return Math.max(FEWEST, ofGroup / routersForEach);
  }

  /**
   * The other routers that share relays with this one: those of its zone. If the zone is small and
   * every view must be fresh, all routers share relays, since otherwise each small zone would need
   * its own.
   */
  private List<NearbyRouter> othersOfGroup() {
    List<NearbyRouter> ofZone = new ArrayList<>();
    for (NearbyRouter router : routers.nearby()) {
      if (router.zone().equals(options.zone())) {
        ofZone.add(router);
      }
    }
    boolean small = ofZone.size() + 1 < LARGE_ZONE;
    return small && options.store().everyView() ? new ArrayList<>(routers.nearby()) : ofZone;
  }

  @Override
  public Optional<String> routerToAskAtStart() {
    ImmutableList<String> contacts = routers.contacts();
    if (contacts.isEmpty()) {
      return Optional.empty();
    }
    int next = (int) Math.floorMod(ownWeight + askedAtStart++, (long) contacts.size());
    return Optional.of(contacts.get(next));
  }

  private static long weight(String router) {
    return HASH.hashString(router, StandardCharsets.UTF_8).asLong();
  }
}

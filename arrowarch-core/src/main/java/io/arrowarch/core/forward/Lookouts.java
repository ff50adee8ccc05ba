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
 * Which routers watch the store for the others: some of each large zone, chosen by a hash of their
 * ids. The others follow them in place of the store, which saves most of its calls; in a small zone
 * there is little to save.
 */
final class Lookouts implements FeedSource {
  private static final int FEWEST = 2;

  /** Zones with fewer routers are small. */
  private static final int LARGE_ZONE = 6;

  private static final int ROUTERS_FOR_EACH_IN_SMALL_ZONE = 4;
  private static final int ROUTERS_FOR_EACH_IN_LARGE_ZONE = 8;

  /** A lookout that gave no answer is left for this long. */
  private static final Duration AVOIDANCE = Duration.ofSeconds(2);

  private static final HashFunction HASH = Hashing.murmur3_128();

  private final ForwardOptions options;
  private final RouterGroup routers;
  private final RouterClock clock;
  private final long ownWeight;
  private final Map<String, Long> failedNanos = new HashMap<>();
  private ImmutableList<LiveRouter> madeFrom = ImmutableList.of();
  private Optional<View> made = Optional.empty();
  private int askedAtStart;
  private int askedAfterGap;

  /**
   * The lookouts of a group as this router sees them.
   *
   * @param isSmall whether every router follows the store itself
   * @param isLookout whether this router is one
   * @param lookouts addresses of the others that are, or would be in this router's place
   */
  private record View(boolean isSmall, boolean isLookout, ImmutableList<String> lookouts) {}

  /** Another router and its place among all. */
  private record Ranked(String address, long weight) {}

  Lookouts(ForwardOptions options, RouterGroup routers, RouterClock clock) {
    this.options = options;
    this.routers = routers;
    this.clock = clock;
    this.ownWeight = weight(options.id());
  }

  /** Whether this router is one; every router is while it knows no other of its group. */
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
    // Routers begin at different ones, so that each has about as many followers.
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

  /** What follows from the routers that are known; made once for each change of them. */
  @SuppressWarnings("ReferenceEquality")
  private View view() {
    ImmutableList<LiveRouter> liveRouters = routers.liveRouters();
    if (made.isEmpty() || liveRouters != madeFrom) {
      madeFrom = liveRouters;
      made = Optional.of(makeView());
    }
    return made.get();
  }

  private View makeView() {
    List<Ranked> others = new ArrayList<>();
    for (LiveRouter router : othersOfGroup()) {
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

  /** Whether every router of a group of so many follows the store itself. */
  private boolean isSmall(int ofGroup) {
    return ofGroup < LARGE_ZONE || !options.has(Mechanism.FOLLOWED_LOOKOUTS);
  }

  private int count(int ofGroup) {
    int routersForEach =
        isSmall(ofGroup) ? ROUTERS_FOR_EACH_IN_SMALL_ZONE : ROUTERS_FOR_EACH_IN_LARGE_ZONE;
    return Math.max(FEWEST, ofGroup / routersForEach);
  }

  /**
   * The routers that share lookouts with this one: those of its zone; where that is small and each
   * view must be fresh, all, since each small zone would need lookouts of its own.
   */
  private List<LiveRouter> othersOfGroup() {
    List<LiveRouter> ofZone = new ArrayList<>();
    for (LiveRouter router : routers.liveRouters()) {
      if (router.zone().equals(options.zone())) {
        ofZone.add(router);
      }
    }
    boolean small = ofZone.size() + 1 < LARGE_ZONE;
    return small && options.store().everyView() ? new ArrayList<>(routers.liveRouters()) : ofZone;
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

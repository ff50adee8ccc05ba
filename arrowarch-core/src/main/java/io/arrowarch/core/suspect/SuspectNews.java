package io.arrowarch.core.suspect;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ListMultimap;
import com.google.common.collect.Lists;
import io.arrowarch.core.peer.NearbyRouter;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerGroup;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Spreads reports about suspected requests by gossip. A router sends each change to a few random
 * peers, and each peer that did not know the change does the same, so that all routers learn of it
 * in a few rounds whatever the size of the fleet.
 *
 * <p>The first crashes under a request go only to the two routers that collect them: there are
 * hundreds of such reports when connections are reset.
 *
 * <p>Reports that were lost, or were sent before a router started, are repaired: every router
 * regularly sends all suspected requests to random peers, and asks peers for theirs after its
 * start.
 */
final class SuspectNews {
  /** With eight peers a gossip round misses one router in three thousand. */
  private static final int FANOUT = 8;

  /** Changes within this time are sent in one message. */
  private static final Duration URGENT_DELAY = Duration.ofMillis(10);

  /**
   * First crashes are reported late, because the answer of another part usually clears the request
   * meanwhile.
   */
  private static final Duration FIRST_ENDS_DELAY = Duration.ofMillis(200);

  private static final Duration REPAIR_INTERVAL = Duration.ofSeconds(1);
  private static final int ROUTERS_TO_REPAIR = 2;

  /**
   * Delays after a start at which the router asks a peer. It asks more than once because the first
   * peers may have just started too.
   */
  private static final ImmutableList<Duration> QUESTION_TIMES =
      ImmutableList.of(
          Duration.ofMillis(300),
          Duration.ofMillis(800),
          Duration.ofMillis(1_500),
          Duration.ofMillis(3_000));

  /** A report takes about 120 bytes; this many fit into a datagram. */
  private static final int REPORTS_PER_MESSAGE = 8;

  private static final int MOST_REPORTS_AT_ONCE = 64;

  private final PeerGroup peers;
  private final ResponsibleRouters responsible;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final RandomGenerator random;
  private final Function<RequestKey, Optional<PeerBody.SuspectReport>> reports;
  private final Supplier<ImmutableList<RequestKey>> known;
  private final Set<RequestKey> untold = new LinkedHashSet<>();
  private final Set<RequestKey> uncounted = new LinkedHashSet<>();
  private boolean repairs;

  /**
   * Creates the gossip of a router.
   *
   * @param reports returns the report about a request; empty if nothing is known about it
   * @param known returns the requests that are suspected or quarantined
   */
  SuspectNews(
      PeerGroup peers,
      ResponsibleRouters responsible,
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      Function<RequestKey, Optional<PeerBody.SuspectReport>> reports,
      Supplier<ImmutableList<RequestKey>> known) {
    this.peers = peers;
    this.responsible = responsible;
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.reports = reports;
    this.known = known;
  }

  /** Schedules the questions to peers after a start. */
  void start() {
    for (Duration time : QUESTION_TIMES) {
      timers.schedule(clock.nanoTime() + time.toNanos(), this::ask);
    }
  }

  /** Schedules gossip about a request that is, or was, suspected or quarantined. */
  void tellAll(RequestKey key) {
    if (untold.isEmpty()) {
      timers.schedule(clock.nanoTime() + URGENT_DELAY.toNanos(), this::spread);
    }
    untold.add(key);
    if (!repairs) {
      repairs = true;
      scheduleRepair();
    }
  }

  /** Schedules a report of the first crashes under a request to the routers that collect them. */
  void tellResponsible(RequestKey key) {
    if (uncounted.isEmpty()) {
      timers.schedule(clock.nanoTime() + FIRST_ENDS_DELAY.toNanos(), this::count);
    }
    uncounted.add(key);
  }

  /** Sends the reports about all suspected requests to a peer that asked for them. */
  void answer(String address) {
    send(address, known.get());
  }

  private void spread() {
    ImmutableList<RequestKey> keys = ImmutableList.copyOf(untold);
    untold.clear();
    sample(FANOUT).forEach(address -> send(address, keys));
  }

  private void count() {
    ListMultimap<String, RequestKey> byRouter = ArrayListMultimap.create();
    for (RequestKey key : uncounted) {
      responsible.others(key).forEach(address -> byRouter.put(address, key));
    }
    uncounted.clear();
    byRouter.asMap().forEach(this::send);
  }

  private void ask() {
    sample(1).forEach(address -> peers.send(address, new PeerBody.SuspectQuestion()));
  }

  private void scheduleRepair() {
    timers.schedule(clock.nanoTime() + REPAIR_INTERVAL.toNanos(), this::repair);
  }

  private void repair() {
    ImmutableList<RequestKey> keys = known.get();
    if (keys.isEmpty()) {
      repairs = false;
      return;
    }
    sample(ROUTERS_TO_REPAIR).forEach(address -> send(address, keys));
    scheduleRepair();
  }

  private void send(String address, Collection<RequestKey> keys) {
    List<PeerBody.SuspectReport> known =
        keys.stream().limit(MOST_REPORTS_AT_ONCE).map(reports).flatMap(Optional::stream).toList();
    for (List<PeerBody.SuspectReport> some : Lists.partition(known, REPORTS_PER_MESSAGE)) {
      peers.send(address, new PeerBody.SuspectNotice(some));
    }
  }

  private List<String> sample(int size) {
    List<NearbyRouter> others = new ArrayList<>(peers.nearby());
    int wanted = Math.min(size, others.size());
    for (int i = 0; i < wanted; i++) {
      Collections.swap(others, i, i + random.nextInt(others.size() - i));
    }
    return others.subList(0, wanted).stream().map(NearbyRouter::address).toList();
  }
}

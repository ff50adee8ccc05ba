package io.arrowarch.core.suspect;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ListMultimap;
import com.google.common.collect.Lists;
import io.arrowarch.core.peer.LiveRouter;
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
import java.util.stream.Stream;

/**
 * Spreads reports about suspected requests by gossip. A router sends each change to a few random
 * peers, and each peer that did not know the change does the same, so that all routers learn of it
 * in a few rounds whatever the size of the fleet.
 *
 * <p>The first crashes of servers that were running a request are reported only to the two routers
 * that collect them: there are hundreds of such reports when connections are reset.
 *
 * <p>Reports that were lost, or were sent before a router started, are repaired: while a router
 * knows suspected requests, it regularly reports some of them to random peers: those seen last and
 * a random choice of the others. After its start it asks peers for theirs.
 */
final class SuspectGossip {
  /** With eight peers a change misses about one router in three thousand. */
  private static final int FANOUT = 8;

  /** Changes within this time are sent together. */
  private static final Duration GOSSIP_DELAY = Duration.ofMillis(10);

  /**
   * First crashes are reported after a delay, because an answer to another part of the same
   * scatter-gather search usually clears the request within this time.
   */
  private static final Duration FIRST_CRASHES_DELAY = Duration.ofMillis(200);

  /** The delay doubles with each repetition; the last report is sent 51 s after the crash. */
  private static final int FIRST_CRASHES_REPORTS = 8;

  private static final Duration REPAIR_INTERVAL = Duration.ofSeconds(1);
  private static final int ROUTERS_TO_REPAIR = 2;

  /**
   * Delays after a start at which the router asks a peer. It asks more than once because the first
   * peers may have just started too.
   */
  private static final ImmutableList<Duration> QUESTION_DELAYS =
      ImmutableList.of(
          Duration.ofMillis(300),
          Duration.ofMillis(800),
          Duration.ofMillis(1_500),
          Duration.ofMillis(3_000));

  /** A report takes about 120 bytes; this many fit into a datagram. */
  private static final int REPORTS_PER_MESSAGE = 8;

  /** Further requests are left out; those seen last take precedence. */
  private static final int MAXIMUM_REPORTS_PER_SEND = 256;

  /** Reports to each peer in one repair. The first half of them is about requests seen last. */
  private static final int REPORTS_PER_REPAIR = 16;

  private final PeerGroup peers;
  private final ResponsibleRouters responsible;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final RandomGenerator random;
  private final Function<RequestKey, Optional<PeerBody.SuspectReport>> reports;
  private final Supplier<ImmutableList<RequestKey>> suspectedKeys;
  private final Set<RequestKey> pendingGossip = new LinkedHashSet<>();

  /** Requests whose first crashes are to be reported, by the number of reports sent before. */
  private final List<Set<RequestKey>> pendingFirstCrashes =
      Stream.<Set<RequestKey>>generate(LinkedHashSet::new).limit(FIRST_CRASHES_REPORTS).toList();

  private boolean repairScheduled;

  /**
   * Creates the gossip of a router.
   *
   * @param reports returns the report about a request; empty if nothing is known about it
   * @param suspectedKeys returns the requests that are suspected or quarantined, the one seen last
   *     first
   */
  SuspectGossip(
      PeerGroup peers,
      ResponsibleRouters responsible,
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      Function<RequestKey, Optional<PeerBody.SuspectReport>> reports,
      Supplier<ImmutableList<RequestKey>> suspectedKeys) {
    this.peers = peers;
    this.responsible = responsible;
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.reports = reports;
    this.suspectedKeys = suspectedKeys;
  }

  /** Schedules the questions to peers after a start. */
  void start() {
    for (Duration time : QUESTION_DELAYS) {
      timers.schedule(clock.nanoTime() + time.toNanos(), this::ask);
    }
  }

  /** Schedules gossip about a request that is, or was, suspected or quarantined. */
  void gossipLater(RequestKey key) {
    if (pendingGossip.isEmpty()) {
      timers.schedule(clock.nanoTime() + GOSSIP_DELAY.toNanos(), this::sendPendingGossip);
    }
    pendingGossip.add(key);
    if (!repairScheduled) {
      repairScheduled = true;
      scheduleRepair();
    }
  }

  /**
   * Schedules a report to the collecting routers of the first crashes of servers that were running
   * a request, or of an answer that cleared such crashes. It is repeated as long as the request has
   * crashes: a report may be lost, and a collecting router may be replaced by another one.
   */
  void reportFirstCrashLater(RequestKey key) {
    reportFirstCrashLater(key, 0);
  }

  private void reportFirstCrashLater(RequestKey key, int earlierReports) {
    Set<RequestKey> pending = pendingFirstCrashes.get(earlierReports);
    if (pending.isEmpty()) {
      long delayNanos = FIRST_CRASHES_DELAY.toNanos() << earlierReports;
      timers.schedule(clock.nanoTime() + delayNanos, () -> sendFirstCrashes(earlierReports));
    }
    pending.add(key);
  }

  /**
   * Sends reports about suspected requests, at most {@value #MAXIMUM_REPORTS_PER_SEND}, to a peer
   * that asked for them.
   */
  void answer(String address) {
    send(address, suspectedKeys.get());
  }

  private void sendPendingGossip() {
    ImmutableList<RequestKey> keys = ImmutableList.copyOf(pendingGossip);
    pendingGossip.clear();
    sampleRouters(FANOUT).forEach(address -> send(address, keys));
  }

  private void sendFirstCrashes(int earlierReports) {
    ImmutableList<RequestKey> due = ImmutableList.copyOf(pendingFirstCrashes.get(earlierReports));
    pendingFirstCrashes.get(earlierReports).clear();
    ListMultimap<String, RequestKey> byRouter = ArrayListMultimap.create();
    for (RequestKey key : due) {
      responsible.others(key).forEach(address -> byRouter.put(address, key));
      if (earlierReports + 1 < FIRST_CRASHES_REPORTS && hasCrashes(key)) {
        reportFirstCrashLater(key, earlierReports + 1);
      }
    }
    byRouter.asMap().forEach(this::send);
  }

  private boolean hasCrashes(RequestKey key) {
    return reports.apply(key).map(report -> !report.servers().isEmpty()).orElse(false);
  }

  private void ask() {
    sampleRouters(1).forEach(address -> peers.send(address, new PeerBody.SuspectQuestion()));
  }

  private void scheduleRepair() {
    timers.schedule(clock.nanoTime() + REPAIR_INTERVAL.toNanos(), this::repair);
  }

  private void repair() {
    ImmutableList<RequestKey> keys = suspectedKeys.get();
    if (keys.isEmpty()) {
      repairScheduled = false;
      return;
    }
    ImmutableList<RequestKey> chosen = chooseForRepair(keys);
    sampleRouters(ROUTERS_TO_REPAIR).forEach(address -> send(address, chosen));
    scheduleRepair();
  }

  private ImmutableList<RequestKey> chooseForRepair(ImmutableList<RequestKey> keys) {
    if (keys.size() <= REPORTS_PER_REPAIR) {
      return keys;
    }
    int half = REPORTS_PER_REPAIR / 2;
    List<RequestKey> others = sample(keys.subList(half, keys.size()), half);
    return ImmutableList.<RequestKey>builder().addAll(keys.subList(0, half)).addAll(others).build();
  }

  private void send(String address, Collection<RequestKey> keys) {
    List<PeerBody.SuspectReport> found =
        keys.stream()
            .limit(MAXIMUM_REPORTS_PER_SEND)
            .map(reports)
            .flatMap(Optional::stream)
            .toList();
    for (List<PeerBody.SuspectReport> some : Lists.partition(found, REPORTS_PER_MESSAGE)) {
      peers.send(address, new PeerBody.SuspectNotice(some));
    }
  }

  private List<String> sampleRouters(int size) {
    return sample(peers.liveRouters(), size).stream().map(LiveRouter::address).toList();
  }

  private <T> List<T> sample(List<T> from, int size) {
    List<T> shuffled = new ArrayList<>(from);
    int wanted = Math.min(size, shuffled.size());
    for (int i = 0; i < wanted; i++) {
      Collections.swap(shuffled, i, i + random.nextInt(shuffled.size() - i));
    }
    return shuffled.subList(0, wanted);
  }
}

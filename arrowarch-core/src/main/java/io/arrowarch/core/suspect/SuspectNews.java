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

/**
 * Spreads what routers know of suspected requests: what is new goes to a few random routers, each
 * of which passes on what is new to it, so that all know it after a few steps whatever their
 * number. First ends, which come by the hundred where connections are reset, go to two routers that
 * count. What was lost on the way, or came before a router started, is repaired by repeating all
 * that is known against requests to random routers, and by asking after a start.
 */
final class SuspectNews {
  /** Routers that news goes to; with eight all but one in three thousand hear of it. */
  private static final int FANOUT = 8;

  /** Ends that come together travel together. */
  private static final Duration URGENT_DELAY = Duration.ofMillis(10);

  /** First ends wait for the answers of other parts, which most often clear the request. */
  private static final Duration FIRST_ENDS_DELAY = Duration.ofMillis(200);

  private static final Duration REPAIR_INTERVAL = Duration.ofSeconds(1);
  private static final int ROUTERS_TO_REPAIR = 2;

  /** When a router that has just started asks others; the first may know as little. */
  private static final ImmutableList<Duration> QUESTION_TIMES =
      ImmutableList.of(
          Duration.ofMillis(300),
          Duration.ofMillis(800),
          Duration.ofMillis(1_500),
          Duration.ofMillis(3_000));

  /** A report has some 120 bytes; this many fit a datagram. */
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
   * Creates news without any.
   *
   * @param reports what is known of a request
   * @param known the requests that a router that knows nothing must be told of
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

  /** Asks other routers for theirs soon. */
  void start() {
    for (Duration time : QUESTION_TIMES) {
      timers.schedule(clock.nanoTime() + time.toNanos(), this::ask);
    }
  }

  /** Soon tells all routers of a request that is, or was, kept from servers. */
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

  /** Later tells the routers that count the first ends under a request. */
  void tellResponsible(RequestKey key) {
    if (uncounted.isEmpty()) {
      timers.schedule(clock.nanoTime() + FIRST_ENDS_DELAY.toNanos(), this::count);
    }
    uncounted.add(key);
  }

  /** Tells a router that has asked all that is known against requests. */
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
    List<LiveRouter> others = new ArrayList<>(peers.liveRouters());
    int wanted = Math.min(size, others.size());
    for (int i = 0; i < wanted; i++) {
      Collections.swap(others, i, i + random.nextInt(others.size() - i));
    }
    return others.subList(0, wanted).stream().map(LiveRouter::address).toList();
  }
}

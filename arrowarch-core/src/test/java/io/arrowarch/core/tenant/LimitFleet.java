package io.arrowarch.core.tenant;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerGroup;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Simulates the limiters of several routers in virtual time. Messages are delayed or lost; routers
 * die, pause or are cut off from each other, which the others notice only after {@link
 * #FAILURE_DETECTION_DELAY}.
 */
final class LimitFleet {
  static final String TENANT = "t-1";
  static final LimitRules RULES = new LimitRules(Duration.ofSeconds(5), 0.25, 20);

  private static final Duration FAILURE_DETECTION_DELAY = Duration.ofSeconds(3);
  private static final Duration MAXIMUM_MESSAGE_DELAY = Duration.ofMillis(8);
  private static final int ZONES = 3;

  final FakeClock clock = new FakeClock();
  final List<Router> routers = new ArrayList<>();
  final List<Long> admittedNanos = new ArrayList<>();
  int refused;
  private final TimerQueue network = new TimerQueue();
  private final Random random;
  private final double loss;
  private TenantLimit limit;

  LimitFleet(int size, TenantLimit limit, double loss, long seed) {
    this.random = new Random(seed);
    this.limit = limit;
    this.loss = loss;
    for (int number = 0; number < size; number++) {
      routers.add(new Router(number));
    }
    routers.forEach(Router::updateNearby);
  }

  /** One router with its timers and its list of the other routers. */
  final class Router implements PeerGroup {
    private final int number;
    private final Set<Integer> unreachable = new HashSet<>();
    private ImmutableList<LiveRouter> liveRouters = ImmutableList.of();
    private TimerQueue timers = new TimerQueue();
    private final List<Runnable> pendingTasks = new ArrayList<>();
    private TenantLimiter limiter;
    private long incarnation = 1;
    boolean dead;
    boolean paused;

    Router(int number) {
      this.number = number;
      this.limiter = create();
    }

    private TenantLimiter create() {
      return new TenantLimiter(
          id(number),
          zone(number),
          RULES,
          this,
          LimitFleet.this::tenants,
          clock,
          timers,
          new Random(number + 100 * incarnation),
          EventLog.NONE);
    }

    void ask() {
      if (dead) {
        return;
      }
      LimitFleet.this.runUnlessPaused(this, () -> limiter.acquire(tenant(), this::onDecision));
    }

    private void onDecision(LimitDecision decision) {
      if (decision instanceof LimitDecision.Allowed) {
        admittedNanos.add(clock.nanoTime());
      } else {
        refused++;
      }
    }

    void kill() {
      dead = true;
      routers.forEach(other -> other.learnOfFailureLater());
    }

    void restart() {
      dead = false;
      incarnation++;
      pendingTasks.clear();
      timers = new TimerQueue();
      limiter = create();
      unreachable.clear();
      updateNearby();
      routers.forEach(other -> other.learnOfRecoveryLater());
    }

    void cutFrom(Router other) {
      unreachable.add(other.number);
      other.unreachable.add(number);
      learnOfFailureLater();
      other.learnOfFailureLater();
    }

    void heal() {
      for (Router other : routers) {
        other.unreachable.remove(number);
        unreachable.remove(other.number);
        other.learnOfRecoveryLater();
        learnOfRecoveryLater();
      }
    }

    void resume() {
      paused = false;
      List<Runnable> waiting = new ArrayList<>(pendingTasks);
      pendingTasks.clear();
      waiting.forEach(Runnable::run);
    }

    private void learnOfFailureLater() {
      network.schedule(clock.nanoTime() + FAILURE_DETECTION_DELAY.toNanos(), this::updateNearby);
    }

    private void learnOfRecoveryLater() {
      network.schedule(clock.nanoTime() + MAXIMUM_MESSAGE_DELAY.toNanos(), this::updateNearby);
    }

    private void updateNearby() {
      ImmutableList.Builder<LiveRouter> known = ImmutableList.builder();
      for (Router other : routers) {
        if (other != this && !other.dead && !unreachable.contains(other.number)) {
          known.add(
              new LiveRouter(
                  id(other.number),
                  other.incarnation,
                  zone(other.number),
                  Integer.toString(other.number),
                  1));
        }
      }
      liveRouters = known.build();
    }

    @Override
    public ImmutableList<LiveRouter> liveRouters() {
      return liveRouters;
    }

    @Override
    public void send(String address, PeerBody body) {
      Router to = routers.get(Integer.parseInt(address));
      if (unreachable.contains(to.number) || random.nextDouble() < loss) {
        return;
      }
      PeerMessage message = new PeerMessage(record(), body);
      long delay = (long) (random.nextDouble() * MAXIMUM_MESSAGE_DELAY.toNanos());
      network.schedule(clock.nanoTime() + delay, () -> to.receive(message));
    }

    private void receive(PeerMessage message) {
      if (!dead) {
        runUnlessPaused(this, () -> limiter.onMessage(message));
      }
    }

    private MemberRecord record() {
      return new MemberRecord(
          id(number),
          zone(number),
          Integer.toString(number),
          1,
          incarnation,
          0,
          MemberRecord.State.ALIVE);
    }
  }

  void limit(TenantLimit changed) {
    limit = changed;
    routers.forEach(router -> router.limiter.onReconfigured());
  }

  void advance(Duration length) {
    for (long millis = 0; millis < length.toMillis(); millis++) {
      clock.advance(Duration.ofMillis(1));
      network.runDue(clock.nanoTime());
      for (Router router : routers) {
        if (!router.dead && !router.paused) {
          router.timers.runDue(clock.nanoTime());
        }
      }
    }
  }

  /** Returns the largest number of requests that ran within any window, from a given request on. */
  int maximumWithinWindow(int from) {
    int most = 0;
    int first = from;
    for (int last = from; last < admittedNanos.size(); last++) {
      while (admittedNanos.get(last) - admittedNanos.get(first) >= RULES.window().toNanos()) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Returns how many requests may run within any window. */
  static double bound(TenantLimit limit) {
    return limit.within(RULES.windowSeconds()) * (1 + RULES.overshoot()) + RULES.slack();
  }

  private void runUnlessPaused(Router router, Runnable task) {
    if (router.paused) {
      router.pendingTasks.add(task);
    } else {
      task.run();
    }
  }

  private Tenants tenants() {
    return new Tenants(ImmutableList.of(tenant()));
  }

  private Tenant tenant() {
    return new Tenant(TENANT, ImmutableSet.of(), Optional.empty(), Optional.of(limit));
  }

  private static String id(int number) {
    return "router-" + number;
  }

  private static String zone(int number) {
    return "zone-" + number % ZONES;
  }
}

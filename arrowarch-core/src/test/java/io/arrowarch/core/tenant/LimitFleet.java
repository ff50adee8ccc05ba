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
 * Limiters of several routers in virtual time, with messages that take a while or are lost, and
 * routers that die, pause or are cut off. Each knows of a death or a cut only some time later.
 */
final class LimitFleet {
  static final String TENANT = "t-1";
  static final LimitRules RULES = new LimitRules(Duration.ofSeconds(5), 0.25, 20);

  private static final Duration NOTICED_AFTER = Duration.ofSeconds(3);
  private static final Duration LONGEST_DELAY = Duration.ofMillis(8);
  private static final int ZONES = 3;

  final FakeClock clock = new FakeClock();
  final List<Router> routers = new ArrayList<>();
  final List<Long> ranNanos = new ArrayList<>();
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
    routers.forEach(Router::learnOfAll);
  }

  /** One router, its queue of timers and what it knows of the others. */
  final class Router implements PeerGroup {
    private final int number;
    private final Set<Integer> unreachable = new HashSet<>();
    private ImmutableList<LiveRouter> liveRouters = ImmutableList.of();
    private TimerQueue timers = new TimerQueue();
    private final List<Runnable> unread = new ArrayList<>();
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
      LimitFleet.this.whenAwake(this, () -> limiter.acquire(tenant(), this::onDecision));
    }

    private void onDecision(LimitDecision decision) {
      if (decision instanceof LimitDecision.Allowed) {
        ranNanos.add(clock.nanoTime());
      } else {
        refused++;
      }
    }

    void kill() {
      dead = true;
      routers.forEach(other -> other.loseLater());
    }

    void restart() {
      dead = false;
      incarnation++;
      unread.clear();
      timers = new TimerQueue();
      limiter = create();
      unreachable.clear();
      learnOfAll();
      routers.forEach(other -> other.findLater());
    }

    void cutFrom(Router other) {
      unreachable.add(other.number);
      other.unreachable.add(number);
      loseLater();
      other.loseLater();
    }

    void heal() {
      for (Router other : routers) {
        other.unreachable.remove(number);
        unreachable.remove(other.number);
        other.findLater();
        findLater();
      }
    }

    void wake() {
      paused = false;
      List<Runnable> waiting = new ArrayList<>(unread);
      unread.clear();
      waiting.forEach(Runnable::run);
    }

    private void loseLater() {
      network.schedule(clock.nanoTime() + NOTICED_AFTER.toNanos(), this::learnOfAll);
    }

    private void findLater() {
      network.schedule(clock.nanoTime() + LONGEST_DELAY.toNanos(), this::learnOfAll);
    }

    private void learnOfAll() {
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
      long delay = (long) (random.nextDouble() * LONGEST_DELAY.toNanos());
      network.schedule(clock.nanoTime() + delay, () -> to.receive(message));
    }

    private void receive(PeerMessage message) {
      if (!dead) {
        whenAwake(this, () -> limiter.onMessage(message));
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

  /** The most that ran within any window. */
  int mostInAWindow(int from) {
    int most = 0;
    int first = from;
    for (int last = from; last < ranNanos.size(); last++) {
      while (ranNanos.get(last) - ranNanos.get(first) >= RULES.window().toNanos()) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** What may run within any window. */
  static double bound(TenantLimit limit) {
    return limit.within(RULES.windowSeconds()) * (1 + RULES.overshoot()) + RULES.slack();
  }

  private void whenAwake(Router router, Runnable task) {
    if (router.paused) {
      router.unread.add(task);
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

package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerGroup;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.time.TimerQueue;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Simulates, in virtual time, several routers in front of the same servers, which certain requests
 * crash. A server answers after 20 ms. A crashed server breaks all its open attempts, refuses
 * connections, and is replaced by one with another id after two seconds, when its entry is removed.
 */
final class CrashFleet {
  static final String CRASHING = "/crash";
  static final Duration PROPAGATION_BOUND = Duration.ofSeconds(4);
  private static final Duration SERVICE_TIME = Duration.ofMillis(20);
  private static final Duration RESTART_DELAY = Duration.ofSeconds(2);
  private static final Duration MAXIMUM_MESSAGE_DELAY = Duration.ofMillis(4);
  private static final Duration STEP = Duration.ofMillis(1);

  final FakeClock clock = new FakeClock();
  final List<Router> routers = new ArrayList<>();

  /** When servers crashed while running a request, by the request's path. */
  final Map<String, List<Long>> crashNanos = new HashMap<>();

  /** When requests first reached a server, by path; one entry per caller's request. */
  final Map<String, List<Long>> arrivalNanos = new HashMap<>();

  /** Whether requests to {@link #CRASHING} crash servers at the moment. */
  boolean crashing = true;

  /** Whether servers start again under their ids, so that routers do not notice. */
  boolean restartUnderSameId;

  /** Whether crashed servers fall silent, so that no connection to them breaks. */
  boolean silentCrashes;

  /** Fraction of attempts that servers answer with an error instead of running them. */
  double errorRate;

  private final TimerQueue simulatedEvents = new TimerQueue();
  private final Map<String, Server> servers = new HashMap<>();
  private final Set<String> counted = new HashSet<>();
  private final Random random;

  /** Whether requests may run only once, so that each reaches one server. */
  private final boolean runsOnce;

  /** Fraction of messages between routers that are lost. */
  double loss;

  private final int shards;
  private int nextServer;
  private int nextRequest;

  CrashFleet(int size, int shards, double loss, long seed) {
    this(size, shards, loss, seed, false);
  }

  CrashFleet(int size, int shards, double loss, long seed, boolean runsOnce) {
    this.random = new Random(seed);
    this.runsOnce = runsOnce;
    this.shards = shards;
    this.loss = loss;
    for (int number = 0; number < size; number++) {
      routers.add(new Router(number));
    }
    for (int shard = 0; shard < shards; shard++) {
      addServer(service(shard));
      addServer(service(shard));
    }
    routers.forEach(Router::start);
    // Skips the first window of the attempt budgets.
    advance(Duration.ofSeconds(11));
  }

  /** A server process. */
  private static final class Server {
    final String service;
    final Map<ServerAttempt, Router> open = new HashMap<>();
    boolean ended;
    boolean silent;

    Server(String service) {
      this.service = service;
    }
  }

  final class Router implements RouterGroup, PeerGroup {
    final int number;
    boolean dead;
    boolean partitioned;
    private int incarnation;
    private ForwardFixture core;
    private ImmutableList<LiveRouter> liveRouters = ImmutableList.of();

    Router(int number) {
      this.number = number;
    }

    /** Starts the process. It knows the servers but no suspected requests. */
    void start() {
      dead = false;
      incarnation++;
      core = new ForwardFixture(clock, id(), "zone-a", this, this::onSent);
      String[] services = new String[shards];
      for (int shard = 0; shard < shards; shard++) {
        services[shard] = service(shard);
      }
      core.route(!runsOnce, services);
      servers.forEach(
          (id, server) -> {
            if (!server.ended) {
              core.server(id, server.service);
            }
          });
      routers.forEach(Router::refreshLiveRouters);
    }

    void kill() {
      dead = true;
      routers.forEach(Router::refreshLiveRouters);
      servers.values().forEach(server -> server.open.values().removeIf(by -> by == this));
    }

    /** The last answer or error returned by this router. */
    Either<QueryError, ForwardedAnswer> lastOutcome() {
      return core.outcomes.get(core.outcomes.size() - 1);
    }

    /** Submits a request as a caller. */
    @CanIgnoreReturnValue
    ForwardHandle sendRequest(String path) {
      return core.submit("request-" + nextRequest++, path, ForwardFixture.TIMEOUT);
    }

    /** Submits a request as a caller that disconnects after a time. */
    void sendRequestAndLeave(String path, Duration patience) {
      ForwardHandle handle = sendRequest(path);
      int submittedTo = incarnation;
      simulatedEvents.schedule(
          clock.nanoTime() + patience.toNanos(),
          () -> {
            if (!dead && submittedTo == incarnation) {
              handle.cancel();
            }
          });
    }

    private void refreshLiveRouters() {
      ImmutableList.Builder<LiveRouter> known = ImmutableList.builder();
      for (Router other : routers) {
        if (other != this && !other.dead) {
          known.add(new LiveRouter(other.id(), other.incarnation, "zone-a", other.id(), 1));
        }
      }
      liveRouters = known.build();
    }

    private String id() {
      return Integer.toString(number);
    }

    private void onSent(ServerAttempt attempt) {
      int sentByIncarnation = incarnation;
      simulatedEvents.schedule(
          clock.nanoTime() + STEP.toNanos(),
          () -> {
            if (!dead && sentByIncarnation == incarnation) {
              arrive(attempt, this);
            }
          });
    }

    @Override
    public int count() {
      return routers.size();
    }

    @Override
    public ImmutableList<LiveRouter> liveRouters() {
      return liveRouters;
    }

    @Override
    public PeerGroup peers() {
      return this;
    }

    @Override
    public void send(String address, PeerBody body) {
      Router to = routers.get(Integer.parseInt(address));
      if (partitioned || to.partitioned || random.nextDouble() < loss) {
        return;
      }
      PeerMessage message =
          new PeerMessage(
              new MemberRecord(id(), "zone-a", id(), 1, incarnation, 0, MemberRecord.State.ALIVE),
              body);
      long delayNanos = 1 + (long) (random.nextDouble() * MAXIMUM_MESSAGE_DELAY.toNanos());
      simulatedEvents.schedule(
          clock.nanoTime() + delayNanos,
          () -> {
            if (!to.dead) {
              to.core.coordinator.onPeerMessage(message);
            }
          });
    }
  }

  void advance(Duration length) {
    for (long millis = 0; millis < length.toMillis(); millis++) {
      clock.advance(STEP);
      simulatedEvents.runDue(clock.nanoTime());
      for (Router router : routers) {
        if (!router.dead) {
          router.core.timers.runDue(clock.nanoTime());
        }
      }
    }
  }

  /** Crashes random servers independently of requests, as when a rack loses power. */
  void crashServers(int count) {
    List<String> running =
        new ArrayList<>(
            servers.keySet().stream().filter(id -> !servers.get(id).ended).sorted().toList());
    for (int i = 0; i < count && !running.isEmpty(); i++) {
      end(running.remove(random.nextInt(running.size())));
    }
  }

  /**
   * Number of requests to a path that reached a server later than {@link #PROPAGATION_BOUND} after
   * the third crash.
   */
  long arrivalsAfterThirdCrash(String path) {
    List<Long> ends = crashNanos.getOrDefault(path, List.of());
    if (ends.size() < 3) {
      return 0;
    }
    long boundNanos = ends.get(2) + PROPAGATION_BOUND.toNanos();
    return arrivalNanos.get(path).stream().filter(nanos -> nanos > boundNanos).count();
  }

  int ends(String path) {
    return crashNanos.getOrDefault(path, List.of()).size();
  }

  private void arrive(ServerAttempt attempt, Router by) {
    Server server = servers.get(attempt.server().id());
    if (server.ended) {
      if (!server.silent) {
        reportFailure(by, attempt, ServerFailure.UNREACHABLE);
      }
      return;
    }
    String path = attempt.request().target();
    if (counted.add(attempt.request().id())) {
      arrivalNanos.computeIfAbsent(path, key -> new ArrayList<>()).add(clock.nanoTime());
    }
    if (random.nextDouble() < errorRate) {
      by.core.answer(attempt, ForwardFixture.serverError());
      return;
    }
    server.open.put(attempt, by);
    simulatedEvents.schedule(
        clock.nanoTime() + SERVICE_TIME.toNanos(),
        () -> finish(server, attempt, crashing && path.startsWith(CRASHING)));
  }

  private void finish(Server server, ServerAttempt attempt, boolean crashes) {
    if (server.ended) {
      return;
    }
    if (crashes) {
      crashNanos
          .computeIfAbsent(attempt.request().target(), key -> new ArrayList<>())
          .add(clock.nanoTime());
      end(attempt.server().id());
      return;
    }
    Router by = server.open.remove(attempt);
    if (by != null && !by.dead) {
      by.core.answer(attempt);
    }
  }

  private void end(String id) {
    Server server = servers.get(id);
    server.ended = true;
    server.silent = silentCrashes;
    Map<ServerAttempt, Router> open = new HashMap<>(server.open);
    server.open.clear();
    if (!server.silent) {
      open.forEach((attempt, by) -> reportFailure(by, attempt, ServerFailure.BROKEN));
    }
    simulatedEvents.schedule(
        clock.nanoTime() + RESTART_DELAY.toNanos(),
        () -> {
          if (restartUnderSameId) {
            servers.put(id, new Server(server.service));
            return;
          }
          for (Router router : routers) {
            router.core.directory.onGone(id, clock.nanoTime(), clock.nanoTime());
            router.core.coordinator.onServerVanished(id);
          }
          addServer(server.service);
        });
  }

  private void reportFailure(Router router, ServerAttempt attempt, ServerFailure failure) {
    if (!router.dead) {
      router.core.fail(attempt, failure);
    }
  }

  private void addServer(String service) {
    String id = "server-" + nextServer++;
    servers.put(id, new Server(service));
    for (Router router : routers) {
      if (router.core != null) {
        router.core.server(id, service);
      }
    }
  }

  private static String service(int shard) {
    return "s" + (1 + shard);
  }
}

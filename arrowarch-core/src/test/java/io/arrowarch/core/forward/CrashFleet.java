package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.NearbyRouter;
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
 * connections, and is replaced by one with another id after two seconds.
 */
final class CrashFleet {
  static final String CRASHING = "/crash";
  static final Duration CONTACT = Duration.ofSeconds(4);
  private static final Duration WORK = Duration.ofMillis(20);
  private static final Duration BACK_AFTER = Duration.ofSeconds(2);
  private static final Duration LONGEST_WAY = Duration.ofMillis(4);
  private static final Duration STEP = Duration.ofMillis(1);

  final FakeClock clock = new FakeClock();
  final List<Router> routers = new ArrayList<>();

  /** When servers crashed while running a request, by the request's path. */
  final Map<String, List<Long>> endsNanos = new HashMap<>();

  /** When requests first reached a server, by path; one entry per caller's request. */
  final Map<String, List<Long>> reachedNanos = new HashMap<>();

  private final TimerQueue world = new TimerQueue();
  private final Map<String, Server> servers = new HashMap<>();
  private final Set<String> counted = new HashSet<>();
  private final Random random;
  private final double loss;
  private final int shards;
  private int nextServer;
  private int nextRequest;

  CrashFleet(int size, int shards, double loss, long seed) {
    this.random = new Random(seed);
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

    Server(String service) {
      this.service = service;
    }
  }

  final class Router implements RouterGroup, PeerGroup {
    final int number;
    boolean dead;
    boolean cutOff;
    private int life;
    private ForwardFixture core;
    private ImmutableList<NearbyRouter> nearby = ImmutableList.of();

    Router(int number) {
      this.number = number;
    }

    /** Starts the process. It knows the servers but no suspected requests. */
    void start() {
      dead = false;
      life++;
      core = new ForwardFixture(clock, id(), "zone-a", this, this::onSent);
      String[] services = new String[shards];
      for (int shard = 0; shard < shards; shard++) {
        services[shard] = service(shard);
      }
      core.route(true, services);
      servers.forEach(
          (id, server) -> {
            if (!server.ended) {
              core.server(id, server.service);
            }
          });
      routers.forEach(Router::look);
    }

    void kill() {
      dead = true;
      routers.forEach(Router::look);
      servers.values().forEach(server -> server.open.values().removeIf(by -> by == this));
    }

    /** The last answer or error returned by this router. */
    Either<QueryError, ForwardedAnswer> lastOutcome() {
      return core.outcomes.get(core.outcomes.size() - 1);
    }

    /** Submits a request as a caller. */
    void ask(String path) {
      core.submit("request-" + nextRequest++, path, ForwardFixture.TIMEOUT);
    }

    private void look() {
      ImmutableList.Builder<NearbyRouter> known = ImmutableList.builder();
      for (Router other : routers) {
        if (other != this && !other.dead) {
          known.add(new NearbyRouter(other.id(), other.life, "zone-a", other.id(), 1));
        }
      }
      nearby = known.build();
    }

    private String id() {
      return Integer.toString(number);
    }

    private void onSent(ServerAttempt attempt) {
      int sentIn = life;
      world.schedule(
          clock.nanoTime() + STEP.toNanos(),
          () -> {
            if (!dead && sentIn == life) {
              arrive(attempt, this);
            }
          });
    }

    @Override
    public int count() {
      return routers.size();
    }

    @Override
    public ImmutableList<NearbyRouter> nearby() {
      return nearby;
    }

    @Override
    public PeerGroup peers() {
      return this;
    }

    @Override
    public void send(String address, PeerBody body) {
      Router to = routers.get(Integer.parseInt(address));
      if (cutOff || to.cutOff || random.nextDouble() < loss) {
        return;
      }
      PeerMessage message =
          new PeerMessage(
              new MemberRecord(id(), "zone-a", id(), 1, life, 0, MemberRecord.State.ALIVE), body);
      long way = 1 + (long) (random.nextDouble() * LONGEST_WAY.toNanos());
      world.schedule(
          clock.nanoTime() + way,
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
      world.runDue(clock.nanoTime());
      for (Router router : routers) {
        if (!router.dead) {
          router.core.timers.runDue(clock.nanoTime());
        }
      }
    }
  }

  /** Crashes random servers independently of requests, as when a rack loses power. */
  void endServers(int count) {
    List<String> running =
        new ArrayList<>(
            servers.keySet().stream().filter(id -> !servers.get(id).ended).sorted().toList());
    for (int i = 0; i < count && !running.isEmpty(); i++) {
      end(running.remove(random.nextInt(running.size())));
    }
  }

  /**
   * Number of requests to a path that reached a server later than {@link #CONTACT} after the third
   * crash.
   */
  long comingsAfterThirdEnd(String path) {
    List<Long> ends = endsNanos.getOrDefault(path, List.of());
    if (ends.size() < 3) {
      return 0;
    }
    long boundNanos = ends.get(2) + CONTACT.toNanos();
    return reachedNanos.get(path).stream().filter(nanos -> nanos > boundNanos).count();
  }

  int ends(String path) {
    return endsNanos.getOrDefault(path, List.of()).size();
  }

  private void arrive(ServerAttempt attempt, Router by) {
    Server server = servers.get(attempt.server().id());
    if (server.ended) {
      tell(by, attempt, ServerFailure.UNREACHABLE);
      return;
    }
    String path = attempt.request().target();
    if (counted.add(attempt.request().id())) {
      reachedNanos.computeIfAbsent(path, key -> new ArrayList<>()).add(clock.nanoTime());
    }
    server.open.put(attempt, by);
    world.schedule(
        clock.nanoTime() + WORK.toNanos(),
        () -> finish(server, attempt, path.startsWith(CRASHING)));
  }

  private void finish(Server server, ServerAttempt attempt, boolean crashes) {
    if (server.ended) {
      return;
    }
    if (crashes) {
      endsNanos
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
    Map<ServerAttempt, Router> open = new HashMap<>(server.open);
    server.open.clear();
    open.forEach((attempt, by) -> tell(by, attempt, ServerFailure.BROKEN));
    world.schedule(
        clock.nanoTime() + BACK_AFTER.toNanos(),
        () -> {
          for (Router router : routers) {
            router.core.directory.onGone(id, clock.nanoTime(), clock.nanoTime());
          }
          addServer(server.service);
        });
  }

  private void tell(Router router, ServerAttempt attempt, ServerFailure failure) {
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

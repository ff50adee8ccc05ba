package io.arrowarch.emulator.simulation;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.config.ConfigurationCodec;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.ConfigurationDocument.ZoneSpec;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.query.NodeIdentity;
import io.arrowarch.core.query.QueryAnswer;
import io.arrowarch.core.query.QueryRequest;
import io.arrowarch.core.router.RouterCore;
import io.arrowarch.core.router.RouterOptions;
import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.core.wire.MachineList;
import io.arrowarch.core.wire.MachineList.Machine;
import io.arrowarch.core.wire.WireCodec;
import io.arrowarch.emulator.backend.BackendOptions;
import io.arrowarch.emulator.backend.ExecutionLog;
import io.arrowarch.emulator.backend.ServiceTimes;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Routers, back ends and a platform in virtual time, on one seed: the same seed and the same calls
 * give the same run. The routers run the product's core.
 */
public final class SimulatedCluster {
  private static final Instant ORIGIN = Instant.parse("2026-06-15T12:00:00Z");
  private static final String PLATFORM = "platform";
  private static final int MAXIMUM_QUERIES = 2_000;
  private static final Duration STOP_POLL = Duration.ofMillis(20);

  private final Random random;
  private final VirtualTime time = new VirtualTime(ORIGIN);
  private final SimulatedNetwork network;
  private final SimulatedPlatform platform;
  private final ExecutionLog log = new ExecutionLog();
  private final HedgePolicy hedgePolicy;
  private final Map<String, SimulatedRouter> routers = new LinkedHashMap<>();
  private final Map<String, SimulatedBackend> backends = new LinkedHashMap<>();
  private final Set<String> leavingMachines = new TreeSet<>();
  private ServiceTimes serviceTimes;
  private Configuration configuration;
  private boolean machineListLags;
  private long nextIncarnation = 1;
  private long newestSnapshot = 1;

  /** Creates a cluster of the routers and back ends that a document names, and starts them. */
  public SimulatedCluster(
      ConfigurationDocument document,
      long seed,
      ServiceTimes serviceTimes,
      HedgePolicy hedgePolicy) {
    this.random = new Random(seed);
    this.network = new SimulatedNetwork(time, random);
    this.platform = new SimulatedPlatform(ConfigurationCodec.toJson(document));
    this.serviceTimes = serviceTimes;
    this.hedgePolicy = hedgePolicy;
    this.configuration = Configuration.compile(document);
    configuration.backends().keySet().forEach(this::startBackend);
    for (ZoneSpec zone : document.zones()) {
      zone.voters().forEach(this::startRouter);
    }
    updateMachineList();
  }

  /** The time that has passed. */
  public Duration now() {
    return Duration.ofNanos(time.nowNanos());
  }

  /** Lets time pass. */
  public void advance(Duration length) {
    time.advance(length);
  }

  /** Runs an action after some time. */
  public void after(Duration delay, Runnable action) {
    time.after(delay, action);
  }

  /** What back ends ran and were offered. */
  public ExecutionLog executionLog() {
    return log;
  }

  /** Ids of all routers, dead ones included. */
  public ImmutableList<String> routerIds() {
    return ImmutableList.copyOf(routers.keySet());
  }

  /** Ids of all back ends, dead ones included. */
  public ImmutableList<String> backendIds() {
    return ImmutableList.copyOf(backends.keySet());
  }

  /** The core of a router that is alive and awake. */
  public Optional<RouterCore> core(String router) {
    SimulatedRouter found = routers.get(router);
    return found.isDead() || found.isFrozen() ? Optional.empty() : Optional.of(found.core());
  }

  /** The zone of a router. */
  public String zoneOf(String router) {
    return routers.get(router).identity().zone();
  }

  /** Bytes of peer messages that a router's present incarnation sent and received. */
  public long controlBytes(String router) {
    return routers.get(router).controlBytes();
  }

  /** Peer messages that a router's present incarnation sent and received. */
  public long controlMessages(String router) {
    return routers.get(router).controlMessages();
  }

  /**
   * Sends a caller's query to a router. A dead router gives no answer; a frozen one answers after
   * it wakes.
   */
  public void submit(
      String router, QueryRequest request, Consumer<Either<QueryError, QueryAnswer>> sink) {
    SimulatedRouter target = routers.get(router);
    target.handle(() -> target.core().submit(request, sink));
  }

  /** Asks a router for a ticket; empty when it does not answer. */
  public Optional<String> issueTicket(String router) {
    return core(router).map(core -> core.issueTicket().toString());
  }

  /** Kills a router without warning. */
  public void killRouter(String router) {
    routers.get(router).kill();
    updateMachineList();
  }

  /** Starts a voter under its id again, as a new incarnation that holds nothing. */
  public void startRouter(String router) {
    ZoneSpec zone =
        configuration.document().zones().stream()
            .filter(candidate -> candidate.voters().contains(router))
            .findFirst()
            .orElseThrow();
    startRouter(router, zone.name());
  }

  /** Starts a router, voter or not, in a zone. */
  public void startRouter(String router, String zone) {
    NodeIdentity identity = new NodeIdentity(router, zone, nextIncarnation++);
    List<String> contacts = new ArrayList<>();
    configuration.document().zones().forEach(z -> contacts.addAll(z.voters()));
    RouterOptions options =
        new RouterOptions(
            identity, router, ImmutableList.copyOf(contacts), MAXIMUM_QUERIES, hedgePolicy);
    SimulatedRouter started =
        new SimulatedRouter(this, time, options, new Random(random.nextLong()));
    routers.put(router, started);
    updateMachineList();
    started.start();
  }

  /**
   * Begins a router's planned stop; it is stopped when it has no query in progress.
   *
   * @param onStopped called at the moment at which the process exits
   */
  public void stopRouterAsPlanned(String router, Duration grace, Runnable onStopped) {
    SimulatedRouter stopping = routers.get(router);
    stopping.handle(stopping.core()::announceLeaving);
    time.after(
        grace,
        () -> {
          stopping.handle(stopping.core()::refuseNewQueries);
          killWhenIdle(stopping, onStopped);
        });
  }

  /** Freezes a router; it still believes what it believes when it wakes. */
  public void freezeRouter(String router) {
    routers.get(router).freeze();
  }

  /** Wakes a router. */
  public void wakeRouter(String router) {
    routers.get(router).wake();
  }

  /** Whether a router process is dead. */
  public boolean isRouterDead(String router) {
    return routers.get(router).isDead();
  }

  /** Whether a router process is frozen. */
  public boolean isRouterFrozen(String router) {
    return routers.get(router).isFrozen();
  }

  /** Kills a back end without warning. */
  public void killBackend(String backend) {
    backends.get(backend).kill();
    updateMachineList();
  }

  /** Starts a back end at its address again, as a new incarnation. */
  public void startBackend(String backend) {
    leavingMachines.remove(backend);
    backends.put(
        backend,
        new SimulatedBackend(
            BackendOptions.of(configuration, backend),
            nextIncarnation++,
            newestSnapshot,
            serviceTimes,
            time,
            new Random(random.nextLong()),
            log));
    updateMachineList();
  }

  /** Freezes a back end. */
  public void freezeBackend(String backend) {
    backends.get(backend).freeze();
  }

  /** Wakes a back end. */
  public void wakeBackend(String backend) {
    backends.get(backend).wake();
  }

  /** Tells a back end to leave; when {@code hidden}, its health does not show that. */
  public void drainBackend(String backend, boolean hidden) {
    SimulatedBackend draining = backends.get(backend);
    draining.handle(draining.model()::drain);
    draining.hideDrain(hidden);
    leavingMachines.add(backend);
    updateMachineList();
  }

  /** Changes how a back end answers. */
  public void setReplyFault(String backend, ReplyFault fault) {
    backends.get(backend).setReplyFault(fault);
  }

  /** Changes how long all back ends take. */
  public void setServiceTimes(ServiceTimes changed) {
    serviceTimes = changed;
    backends.values().forEach(backend -> backend.model().setServiceTimes(changed));
  }

  /** Publishes the next index snapshot on one back end after the other. */
  public void rollSnapshot(Duration pause) {
    newestSnapshot++;
    Duration delay = Duration.ZERO;
    for (String id : backendIds()) {
      delay = delay.plus(pause);
      time.after(delay, () -> publish(id));
    }
  }

  /** Hands the platform a new document. Back ends take up shards that it gives them at once. */
  public void changeConfiguration(ConfigurationDocument document) {
    configuration = Configuration.compile(document);
    platform.setDocument(ConfigurationCodec.toJson(document));
    for (Backend backend : configuration.backends().values()) {
      if (backends.containsKey(backend.id())) {
        takeUpShards(backend.id());
      } else {
        startBackend(backend.id());
      }
    }
  }

  /** The document that the platform was last given. */
  public ConfigurationDocument document() {
    return configuration.document();
  }

  /** Takes the platform away or brings it back. */
  public void setPlatformDown(boolean down) {
    platform.setDown(down);
  }

  /** Makes the platform serve its present document whatever it is given. */
  public void setPlatformFrozen(boolean frozen) {
    platform.setFrozen(frozen);
  }

  /** Makes the platform serve half of its document. */
  public void setPlatformTruncated(boolean truncated) {
    platform.setTruncated(truncated);
  }

  /** Stops the list of machines from changing, or lets it catch up. */
  public void setMachineListLagging(boolean lagging) {
    machineListLags = lagging;
    updateMachineList();
  }

  /** Cuts messages from one host to another; {@code platform} is a host too. */
  public void cut(String from, String to) {
    network.cut(from, to);
  }

  /**
   * Cuts a set of routers off from all other routers.
   *
   * @param platformToo whether they lose the platform as well
   */
  public void isolate(Set<String> inside, boolean platformToo) {
    for (String one : inside) {
      for (String other : routerIds()) {
        if (!inside.contains(other)) {
          cutBothWays(one, other);
        }
      }
      if (platformToo) {
        cutBothWays(one, PLATFORM);
      }
    }
  }

  /** The routers of a zone. */
  public ImmutableSet<String> routersIn(String zone) {
    return routerIds().stream()
        .filter(router -> zoneOf(router).equals(zone))
        .collect(ImmutableSet.toImmutableSet());
  }

  private void cutBothWays(String one, String other) {
    network.cut(one, other);
    network.cut(other, one);
  }

  /** Ends all cuts and disturbances. */
  public void healNetwork() {
    network.healAll();
  }

  /** Loses, repeats and delays datagrams between routers. */
  public void disturbDatagrams(double loss, double duplicates, Duration delay) {
    network.disturbDatagrams(loss, duplicates, delay);
  }

  Optional<SimulatedBackend> backend(String id) {
    return Optional.ofNullable(backends.get(id)).filter(found -> !found.isDead());
  }

  /** Opens a connection from a router to a back end. */
  void connect(String from, String backendId, Duration length, Runnable opened, Runnable refused) {
    time.after(
        length,
        () -> {
          boolean reachable =
              backend(backendId).isPresent()
                  && !network.isCut(from, backendId)
                  && !network.isCut(backendId, from);
          (reachable ? opened : refused).run();
        });
  }

  /** Carries something to a back end over an open connection. */
  void deliver(String from, SimulatedBackend backend, Runnable delivery, Runnable broken) {
    network.stream(
        from,
        backend.options().id(),
        () -> {
          if (backend.isDead()) {
            broken.run();
          } else {
            backend.handle(delivery);
          }
        },
        broken);
  }

  /** Carries something back to a router over an open connection. */
  void reply(String backendId, String to, Runnable delivery, Runnable broken) {
    network.stream(backendId, to, delivery, broken);
  }

  void sendPeerMessage(String from, String to, PeerMessage message, long bytes) {
    SimulatedRouter target = routers.get(to);
    if (target != null) {
      network.datagram(from, to, () -> routers.get(to).receive(message, bytes));
    }
  }

  long measure(PeerMessage message) {
    return WireCodec.encode(message).length;
  }

  void askPlatform(String from, Function<SimulatedPlatform, Runnable> question) {
    network.datagram(
        from,
        PLATFORM,
        () -> {
          if (!platform.isDown()) {
            Runnable answer = question.apply(platform);
            network.datagram(PLATFORM, from, answer);
          }
        });
  }

  private void takeUpShards(String backendId) {
    SimulatedBackend holder = backends.get(backendId);
    BackendOptions.of(configuration, backendId)
        .shardByLayout()
        .forEach(
            (layout, shard) ->
                holder.handle(() -> holder.model().hold(layout, shard, newestSnapshot)));
  }

  private void publish(String backendId) {
    SimulatedBackend publishing = backends.get(backendId);
    publishing.handle(() -> publishing.model().publish(newestSnapshot));
  }

  private void killWhenIdle(SimulatedRouter stopping, Runnable onStopped) {
    if (stopping.isDead()) {
      return;
    }
    if (stopping.core().pendingQueries() == 0 && !stopping.isFrozen()) {
      onStopped.run();
      stopping.kill();
      updateMachineList();
    } else {
      time.after(STOP_POLL, () -> killWhenIdle(stopping, onStopped));
    }
  }

  private void updateMachineList() {
    if (machineListLags) {
      return;
    }
    ImmutableList.Builder<Machine> machines = ImmutableList.builder();
    routers.forEach(
        (id, router) -> {
          if (!router.isDead()) {
            machines.add(new Machine(id, MachineList.Role.ROUTER, id, MachineList.State.LIVE));
          }
        });
    backends.forEach(
        (id, backend) -> {
          if (!backend.isDead()) {
            MachineList.State state =
                leavingMachines.contains(id) ? MachineList.State.LEAVING : MachineList.State.LIVE;
            machines.add(new Machine(id, MachineList.Role.BACKEND, id, state));
          }
        });
    platform.setMachines(new MachineList(machines.build()));
  }
}

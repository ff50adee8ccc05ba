package io.arrowarch.emulator.simulation;

import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.peer.PeerTransport;
import io.arrowarch.core.query.Attempt;
import io.arrowarch.core.query.AttemptFailure;
import io.arrowarch.core.query.AttemptTransport;
import io.arrowarch.core.query.NodeIdentity;
import io.arrowarch.core.replica.ProbeTransport;
import io.arrowarch.core.router.PlatformTransport;
import io.arrowarch.core.router.RouterCore;
import io.arrowarch.core.router.RouterOptions;
import io.arrowarch.core.router.RouterTransports;
import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.wire.BackendReply;
import io.arrowarch.core.wire.BackendReport;
import java.time.Duration;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

/** A router process in virtual time, running the same core as a real one. */
final class SimulatedRouter extends SimulatedProcess
    implements AttemptTransport, ProbeTransport, PeerTransport, PlatformTransport {
  /** A real transport opens a connection before it writes; a process may sleep in between. */
  private static final Duration CONNECT_TIME = Duration.ofMillis(1);

  private final SimulatedCluster cluster;
  private final NodeIdentity identity;
  private final RouterCore core;
  private final Set<String> cancelled = new HashSet<>();
  private long controlBytes;
  private long controlMessages;

  SimulatedRouter(
      SimulatedCluster cluster, VirtualTime time, RouterOptions options, RandomGenerator random) {
    super(time);
    this.cluster = cluster;
    this.identity = options.identity();
    this.core = new RouterCore(options, this, random, new RouterTransports(this, this, this, this));
  }

  NodeIdentity identity() {
    return identity;
  }

  RouterCore core() {
    return core;
  }

  long controlBytes() {
    return controlBytes;
  }

  long controlMessages() {
    return controlMessages;
  }

  void start() {
    handle(core::start);
  }

  @Override
  public void send(Attempt attempt) {
    cluster.connect(
        identity.id(),
        attempt.backend().id(),
        CONNECT_TIME,
        () -> handle(() -> write(attempt)),
        () -> handle(() -> core.onAttemptFailure(attempt.id(), AttemptFailure.UNREACHABLE)));
  }

  @Override
  public void cancel(Attempt attempt) {
    cancelled.add(attempt.id());
    cluster
        .backend(attempt.backend().id())
        .ifPresent(
            backend ->
                cluster.deliver(
                    identity.id(), backend, () -> backend.model().cancel(attempt.id()), () -> {}));
  }

  @Override
  public void probe(Backend target) {
    cluster
        .backend(target.id())
        .ifPresent(
            backend ->
                cluster.deliver(
                    identity.id(),
                    backend,
                    () -> answerProbe(target.id(), backend.health()),
                    () -> {}));
  }

  @Override
  public void send(String address, PeerMessage message) {
    long bytes = cluster.measure(message);
    countMessage(bytes);
    cluster.sendPeerMessage(identity.id(), address, message, bytes);
  }

  @Override
  public void fetchConfiguration() {
    cluster.askPlatform(
        identity.id(),
        platform -> {
          String document = platform.document();
          return () -> handle(() -> core.onPlatformConfiguration(document));
        });
  }

  @Override
  public void fetchMachineList() {
    cluster.askPlatform(
        identity.id(),
        platform -> {
          var list = platform.machines();
          return () -> handle(() -> core.onMachineList(list));
        });
  }

  void receive(PeerMessage message, long bytes) {
    countMessage(bytes);
    handle(() -> core.onPeerMessage(message));
  }

  private void countMessage(long bytes) {
    controlBytes += bytes;
    controlMessages++;
  }

  private void write(Attempt attempt) {
    if (cancelled.remove(attempt.id())) {
      return;
    }
    if (!core.mayWriteAttempt(attempt.id())) {
      core.onAttemptFailure(attempt.id(), AttemptFailure.NOT_WRITTEN);
      return;
    }
    cluster
        .backend(attempt.backend().id())
        .ifPresentOrElse(
            backend ->
                cluster.deliver(
                    identity.id(),
                    backend,
                    () -> submit(attempt, backend),
                    () -> connectionLost(attempt)),
            () -> connectionLost(attempt));
  }

  private void submit(Attempt attempt, SimulatedBackend backend) {
    String backendId = backend.options().id();
    backend.submit(
        attempt.request(),
        reply ->
            cluster.reply(
                backendId,
                identity.id(),
                () -> handle(() -> onReply(attempt, reply)),
                () -> connectionLost(attempt)),
        () ->
            cluster.reply(
                backendId,
                identity.id(),
                () -> connectionLost(attempt),
                () -> connectionLost(attempt)));
  }

  private void onReply(Attempt attempt, BackendReply reply) {
    if (!cancelled.remove(attempt.id())) {
      core.onAttemptReply(attempt.id(), reply);
    }
  }

  private void connectionLost(Attempt attempt) {
    handle(() -> core.onAttemptFailure(attempt.id(), AttemptFailure.CONNECTION_LOST));
  }

  private void answerProbe(String backendId, BackendReport report) {
    cluster.reply(
        backendId,
        identity.id(),
        () -> handle(() -> core.onProbeReply(backendId, report)),
        () -> {});
  }

  @Override
  void runTimers() {
    core.runTimers();
  }

  @Override
  OptionalLong nextTimerNanos() {
    return core.nextTimerNanos();
  }
}

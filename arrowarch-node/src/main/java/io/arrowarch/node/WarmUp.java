package io.arrowarch.node;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.core.query.Attempt;
import io.arrowarch.core.query.AttemptTransport;
import io.arrowarch.core.query.NodeIdentity;
import io.arrowarch.core.query.QueryCoordinator;
import io.arrowarch.core.query.QueryRequest;
import io.arrowarch.core.replica.ReplicaTable;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.core.topology.Layout;
import io.arrowarch.core.wire.BackendReply;
import io.arrowarch.core.wire.BackendReport;
import io.arrowarch.core.wire.BackendRequest;
import io.arrowarch.core.wire.SearchHit;
import io.arrowarch.core.wire.WireCodec;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Makes the virtual machine load and compile what a query needs, before the node says that it is
 * ready: made-up queries run through a coordinator of their own, whose back ends answer within the
 * process. Nothing is sent.
 */
final class WarmUp implements AttemptTransport {
  private static final Duration LENGTH = Duration.ofMillis(700);
  private static final long SNAPSHOT = 1;
  private static final int MAXIMUM_QUERIES = 100;

  private final Configuration configuration;
  private final ReplicaTable replicas = new ReplicaTable((backend, incarnation) -> {});
  private final TimerQueue timers = new TimerQueue();
  private final SystemClock clock = new SystemClock();
  private final Deque<Attempt> outstanding = new ArrayDeque<>();
  private final QueryCoordinator coordinator;

  private WarmUp(Configuration configuration) {
    this.configuration = configuration;
    String zone = configuration.document().zones().get(0).name();
    coordinator =
        new QueryCoordinator(
            new NodeIdentity("warm-up", zone, 0),
            clock,
            timers,
            RandomGenerator.getDefault(),
            replicas,
            this,
            HedgePolicy.adaptive(),
            now -> true,
            MAXIMUM_QUERIES);
    replicas.reconfigure(configuration.backends(), configuration.routerCount());
    coordinator.reconfigure(configuration);
  }

  /** Runs made-up queries of every kind for {@link #LENGTH}; returns how many. */
  static int run(Configuration configuration) {
    WarmUp warmUp = new WarmUp(configuration);
    long end = System.nanoTime() + LENGTH.toNanos();
    int queries = 0;
    while (System.nanoTime() < end && !configuration.kinds().isEmpty()) {
      warmUp.reportAll();
      configuration.kinds().keySet().forEach(warmUp::query);
      queries += configuration.kinds().size();
    }
    return queries;
  }

  @Override
  public void send(Attempt attempt) {
    outstanding.add(attempt);
  }

  @Override
  public void cancel(Attempt attempt) {
    outstanding.remove(attempt);
  }

  private void query(String kind) {
    QueryRequest request =
        new QueryRequest(
            "warm-up",
            kind,
            Optional.empty(),
            CallerProtocol.DEFAULT_LIMIT,
            Optional.of("key"),
            Optional.empty(),
            JsonNodeFactory.instance.objectNode().put("text", "warm-up"));
    coordinator.submit(request, clock.nanoTime(), outcome -> outcome.map(WireCodec::encode));
    while (!outstanding.isEmpty()) {
      answer(outstanding.poll());
    }
    timers.runDue(clock.nanoTime());
  }

  private void answer(Attempt attempt) {
    byte[] sent = WireCodec.encode(attempt.request());
    BackendRequest request = WireCodec.decode(sent, BackendRequest.class).get();
    byte[] reply = WireCodec.encode(reply(request, attempt.backend()));
    coordinator.onReply(attempt.id(), WireCodec.decode(reply, BackendReply.class).get());
  }

  private BackendReply reply(BackendRequest request, Backend backend) {
    SearchHit hit = new SearchHit(request.shard(), 0.5, request.body());
    return new BackendReply(
        request.attempt(),
        request.layout(),
        request.shard(),
        Optional.of(request.snapshot().orElse(SNAPSHOT)),
        BackendReply.Outcome.OK,
        Optional.empty(),
        ImmutableList.of(hit, hit, hit),
        Optional.of(request.body()),
        report(backend));
  }

  private void reportAll() {
    for (Backend backend : configuration.backends().values()) {
      replicas.onReport(backend.id(), report(backend), clock.nanoTime());
    }
  }

  private BackendReport report(Backend backend) {
    ImmutableMap.Builder<String, Set<Long>> snapshots = ImmutableMap.builder();
    for (Layout layout : configuration.layouts().values()) {
      snapshots.put(layout.id(), ImmutableSet.of(SNAPSHOT));
    }
    return new BackendReport(backend.id(), "warm-up", false, 0, 0, snapshots.buildOrThrow());
  }
}

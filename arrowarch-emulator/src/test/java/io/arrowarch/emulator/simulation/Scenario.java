package io.arrowarch.emulator.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.core.query.QueryAnswer;
import io.arrowarch.core.query.QueryRequest;
import io.arrowarch.core.quorum.ConfigurationAgreement;
import io.arrowarch.core.router.RouterCore;
import io.arrowarch.emulator.backend.ExecutionLog;
import io.arrowarch.emulator.backend.ServiceTimes;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/** A simulated fleet with callers, the oracle, and the checks that are made all the time. */
final class Scenario {
  /** Stated in docs/PROMISES.md: no new work reaches a leaving back end after this. */
  static final Duration DRAIN_BOUND = Duration.ofSeconds(3);

  /** Stated in docs/PROMISES.md: full coverage is back this long after all faults end. */
  static final Duration RECOVERY_BOUND = Duration.ofSeconds(15);

  /** Planned stops that have begun are over after this. */
  private static final Duration PLANNED_STOP = Duration.ofSeconds(2);

  private static final Duration START_UP = Duration.ofSeconds(4);
  private static final Duration BACKGROUND_INTERVAL = Duration.ofMillis(60);
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(50);
  private static final Duration ANSWER_SLACK = Duration.ofMillis(50);
  private static final Duration DEADLINE = Duration.ofMillis(300);

  /** A router without a configuration does not know the deadline of a kind. */
  private static final Duration LONGEST_WAIT = Duration.ofMillis(400);

  private static final int FIRST_SHARDS = 4;
  private static final int LIMIT = 1_000;

  private final SimulatedCluster cluster;
  private final PromiseOracle oracle;
  private final TreeMap<Long, Long> acceptedByTime = new TreeMap<>();
  private final Map<String, Long> inForceByIncarnation = new HashMap<>();
  private final List<Drain> drains = new ArrayList<>();
  private final List<Pending> pending = new ArrayList<>();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private int nextToken = 1;
  private int generation = 1;
  private int shards = FIRST_SHARDS;

  private record Drain(String backend, long atNanos, boolean hidden) {}

  private record Pending(String token, String router, long incarnation, Duration due) {}

  Scenario(long seed) {
    ConfigurationDocument document = ScenarioDocuments.document(1, generation, shards);
    cluster =
        new SimulatedCluster(
            document, seed, ServiceTimes.around(Duration.ofMillis(4)), HedgePolicy.adaptive());
    oracle = new PromiseOracle(cluster.executionLog());
    oracle.onDocument(document);
    sample();
    cluster.advance(START_UP);
    keepAsking(new Random(seed));
  }

  SimulatedCluster cluster() {
    return cluster;
  }

  /** How many queries ended how. */
  Map<String, Integer> outcomes() {
    return outcomes;
  }

  /** Sends one query that nobody else sends. */
  void query(String kind, String router) {
    String token = "t" + nextToken++;
    if (kind.equals(ScenarioDocuments.PURCHASE)) {
      purchase(token, router, cluster.issueTicket(router));
    } else {
      submit(kind, token, router, Optional.empty());
    }
  }

  /** Sends a purchase, and the same purchase again with the same ticket to another router. */
  void purchaseTwice(String first, String second, Duration pause) {
    String token = "t" + nextToken++;
    Optional<String> ticket = cluster.issueTicket(first);
    purchase(token, first, ticket);
    cluster.after(pause, () -> purchase(token, second, ticket));
    cluster.after(pause, () -> purchase(token, first, ticket));
  }

  void advance(Duration length) {
    cluster.advance(length);
  }

  void drainBackend(String backend, boolean hidden) {
    cluster.drainBackend(backend, hidden);
    drains.add(new Drain(backend, cluster.now().toNanos(), hidden));
  }

  void killRouter(String router) {
    cluster.killRouter(router);
  }

  void restartRouter(String router) {
    cluster.killRouter(router);
    cluster.startRouter(router);
  }

  void freezeRouter(String router) {
    cluster.freezeRouter(router);
  }

  void wakeRouter(String router) {
    cluster.wakeRouter(router);
  }

  void stopRouter(String router) {
    if (cluster.isRouterDead(router)) {
      return;
    }
    cluster.stopRouterAsPlanned(
        router,
        Duration.ofSeconds(1),
        () ->
            assertThat(pending)
                .as("queries cut off by the planned stop of %s", router)
                .noneMatch(waiting -> waiting.router().equals(router) && !isMoot(waiting)));
  }

  void killBackend(String backend) {
    cluster.killBackend(backend);
  }

  void restartBackend(String backend) {
    cluster.killBackend(backend);
    cluster.startBackend(backend);
  }

  void freezeBackend(String backend) {
    cluster.freezeBackend(backend);
  }

  void wakeBackend(String backend) {
    cluster.wakeBackend(backend);
  }

  void isolateZone(String zone, boolean platformToo) {
    cluster.isolate(cluster.routersIn(zone), platformToo);
  }

  void isolateRouter(String router, boolean platformToo) {
    cluster.isolate(ImmutableSet.of(router), platformToo);
  }

  void disturbDatagrams() {
    cluster.disturbDatagrams(0.2, 0.2, Duration.ofMillis(80));
  }

  void rollSnapshot() {
    cluster.rollSnapshot(Duration.ofMillis(40));
  }

  void setSlow(boolean slow) {
    ServiceTimes normal = ServiceTimes.around(Duration.ofMillis(4));
    cluster.setServiceTimes(slow ? normal.withSlow(0.2, 20) : normal);
  }

  /** Hands the platform the next version; when {@code repartition}, with other shards. */
  void changeConfiguration(boolean repartition) {
    if (repartition) {
      generation++;
      shards = shards == FIRST_SHARDS ? FIRST_SHARDS + 2 : FIRST_SHARDS;
    }
    long version = cluster.document().version() + 1;
    ConfigurationDocument document = ScenarioDocuments.document(version, generation, shards);
    oracle.onDocument(document);
    cluster.changeConfiguration(document);
  }

  /** Ends every fault and checks that all is well again within the bound. */
  void recoverAndCheck() {
    cluster.healNetwork();
    cluster.setPlatformDown(false);
    cluster.setPlatformFrozen(false);
    cluster.setPlatformTruncated(false);
    cluster.setMachineListLagging(false);
    cluster.setServiceTimes(ServiceTimes.around(Duration.ofMillis(4)));
    cluster.routerIds().forEach(cluster::wakeRouter);
    cluster.advance(PLANNED_STOP);
    cluster.routerIds().stream().filter(cluster::isRouterDead).forEach(cluster::startRouter);
    cluster.backendIds().forEach(cluster::startBackend);
    cluster.advance(RECOVERY_BOUND);
    checkFullService();
    oracle.checkAtEnd();
    checkDrains();
  }

  /** Background callers, so that every fault meets queries in progress. */
  private void keepAsking(Random random) {
    String router = cluster.routerIds().get(random.nextInt(cluster.routerIds().size()));
    String kind = ScenarioDocuments.KINDS.get(random.nextInt(ScenarioDocuments.KINDS.size()));
    query(kind, router);
    cluster.after(BACKGROUND_INTERVAL, () -> keepAsking(random));
  }

  private void checkFullService() {
    long newest = cluster.document().version();
    for (String router : cluster.routerIds()) {
      RouterCore core = cluster.core(router).orElseThrow();
      assertThat(core.isReady()).as("router %s is ready", router).isTrue();
      assertThat(core.configurationStore().inForceId().version()).isEqualTo(newest);
      assertThat(core.configurationStore().accepted().version()).isEqualTo(newest);
      cluster.submit(
          router,
          request(ScenarioDocuments.STRICT_SEARCH, "recovered", Optional.empty()),
          outcome ->
              assertThat(outcome.map(answer -> answer.coverage().fraction()).getOrElse(0.0))
                  .as("coverage after recovery at %s: %s", router, outcome)
                  .isEqualTo(1.0));
      cluster.advance(DEADLINE);
    }
  }

  private void purchase(String token, String router, Optional<String> ticket) {
    if (ticket.isPresent()) {
      oracle.onNotRepeatable(token);
      submit(ScenarioDocuments.PURCHASE, token, router, ticket);
    }
  }

  private void submit(String kind, String token, String router, Optional<String> ticket) {
    oracle.onSubmitted(token);
    if (cluster.core(router).isEmpty()) {
      // The caller of a frozen or dead router waits; only what it is told late is checked.
      cluster.submit(router, request(kind, token, ticket), outcome -> onOutcome(token, outcome));
      return;
    }
    Pending waiting =
        new Pending(
            token,
            router,
            cluster.core(router).get().status().incarnation(),
            cluster.now().plus(LONGEST_WAIT).plus(ANSWER_SLACK));
    pending.add(waiting);
    cluster.submit(
        router,
        request(kind, token, ticket),
        outcome -> {
          pending.remove(waiting);
          onOutcome(token, outcome);
        });
  }

  private void onOutcome(String token, Either<QueryError, QueryAnswer> outcome) {
    outcomes.merge(
        outcome.fold(
            error -> error.kind().wireName(),
            answer -> answer.coverage().fraction() < 1 ? "partial" : "whole"),
        1,
        Integer::sum);
    assertThat(outcome.fold(QueryError::kind, answer -> null)).isNotEqualTo(ErrorKind.INTERNAL);
    oracle.onOutcome(token, token, outcome);
  }

  private static QueryRequest request(String kind, String token, Optional<String> ticket) {
    return new QueryRequest(
        token,
        kind,
        Optional.empty(),
        LIMIT,
        Optional.of(token),
        ticket,
        JsonNodeFactory.instance.objectNode().put("token", token));
  }

  private void sample() {
    cluster.after(SAMPLE_INTERVAL, this::sample);
    long nowNanos = cluster.now().toNanos();
    for (String router : cluster.routerIds()) {
      cluster.core(router).ifPresent(core -> sampleRouter(router, core, nowNanos));
    }
    pending.removeIf(this::isMoot);
    for (Pending waiting : pending) {
      assertThat(cluster.now()).as("answer to %s is due", waiting).isLessThan(waiting.due());
    }
  }

  private void sampleRouter(String router, RouterCore core, long nowNanos) {
    long inForce = core.configurationStore().inForceId().version();
    String incarnation = router + "/" + core.status().incarnation();
    Long earlier = inForceByIncarnation.put(incarnation, inForce);
    assertThat(inForce)
        .as("version at %s", incarnation)
        .isGreaterThanOrEqualTo(earlier == null ? 0 : earlier);
    long accepted = core.configurationStore().accepted().version();
    long known = acceptedByTime.isEmpty() ? 0 : acceptedByTime.lastEntry().getValue();
    if (accepted > known) {
      acceptedByTime.put(nowNanos, accepted);
    }
    Map.Entry<Long, Long> due =
        acceptedByTime.floorEntry(
            nowNanos - ConfigurationAgreement.LEASE.plus(SAMPLE_INTERVAL).toNanos());
    if (core.isReady() && due != null) {
      assertThat(inForce)
          .as("version in force at serving %s", router)
          .isGreaterThanOrEqualTo(due.getValue());
    }
  }

  /** The router has died, or sleeps: nobody can expect its answer in time. */
  private boolean isMoot(Pending waiting) {
    return cluster.isRouterDead(waiting.router())
        || cluster.isRouterFrozen(waiting.router())
        || cluster.core(waiting.router()).get().status().incarnation() != waiting.incarnation();
  }

  private void checkDrains() {
    for (Drain drain : drains) {
      long bound = drain.atNanos() + DRAIN_BOUND.toNanos();
      long late =
          cluster.executionLog().offers().stream()
              .filter(offer -> offer.backend().equals(drain.backend()))
              .filter(offer -> offer.atNanos() > bound)
              .filter(offer -> offer.incarnation().equals(incarnationAt(drain)))
              .count();
      if (!drain.hidden()) {
        assertThat(late).as("work offered to %s after the bound", drain).isZero();
      }
    }
  }

  private String incarnationAt(Drain drain) {
    return cluster.executionLog().offers().stream()
        .filter(offer -> offer.backend().equals(drain.backend()))
        .filter(offer -> offer.atNanos() <= drain.atNanos())
        .reduce((first, second) -> second)
        .map(ExecutionLog.Entry::incarnation)
        .orElse("");
  }
}

package io.arrowarch.emulator.experiment;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.ConfigurationDocument.ZoneSpec;
import io.arrowarch.core.config.Operation;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.emulator.DeploymentBuilder;
import io.arrowarch.emulator.backend.ServiceTimes;
import io.arrowarch.emulator.simulation.SimulatedCluster;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * Hollow routers, which serve no queries, at several sizes: what control costs a node, and how long
 * a change of configuration takes to be in force everywhere. Two regions of two zones each, five
 * voters a zone.
 */
public final class ScaleExperiment implements Experiment {
  private static final ImmutableList<Integer> SIZES = ImmutableList.of(40, 80, 160, 320, 640);
  private static final int ZONES = 4;
  private static final int VOTERS_PER_ZONE = 5;
  private static final int BACKENDS = 2;
  private static final int FIRST_PORT = 20_000;
  private static final Duration SETTLE = Duration.ofSeconds(20);
  private static final Duration LENGTH = Duration.ofSeconds(30);
  private static final Duration POLL = Duration.ofMillis(50);
  private static final Duration LONGEST = Duration.ofSeconds(60);

  @Override
  public Report run(long seed) {
    Report report =
        new Report(
            "Hollow routers, seed " + seed,
            "routers",
            "mean bytes/s",
            "voter bytes/s",
            "other bytes/s",
            "mean messages/s",
            "CPU us per node-second",
            "heap KB per node",
            "in force everywhere s",
            "accepted s",
            "failure known s");
    for (int size : SIZES) {
      measure(report, seed, size);
    }
    return report;
  }

  private static void measure(Report report, long seed, int size) {
    long heapBefore = usedHeap();
    SimulatedCluster cluster =
        new SimulatedCluster(
            document(1), seed, ServiceTimes.around(Duration.ofMillis(4)), HedgePolicy.adaptive());
    List<String> others = startOthers(cluster, size);
    cluster.advance(SETTLE);
    long heap = usedHeap() - heapBefore;
    List<String> voters = cluster.routerIds().subList(0, ZONES * VOTERS_PER_ZONE);
    double[] before = traffic(cluster, voters, others);
    long cpuBefore = processCpuNanos();
    cluster.advance(LENGTH);
    double cpuMicros = (processCpuNanos() - cpuBefore) / 1_000.0;
    double[] after = traffic(cluster, voters, others);
    double seconds = LENGTH.toSeconds();
    double[] spread = changeConfiguration(cluster);
    double failureKnown = killOne(cluster, others);
    report.addRow(
        size,
        (after[0] + after[1] - before[0] - before[1]) / seconds / size,
        (after[0] - before[0]) / seconds / voters.size(),
        (after[1] - before[1]) / seconds / Math.max(1, others.size()),
        (after[2] - before[2]) / seconds / size,
        cpuMicros / seconds / size,
        heap / 1_024.0 / size,
        spread[0],
        spread[1],
        failureKnown);
  }

  private static List<String> startOthers(SimulatedCluster cluster, int size) {
    List<String> others = new ArrayList<>();
    for (int i = ZONES * VOTERS_PER_ZONE; i < size; i++) {
      String id = "h" + i;
      others.add(id);
      cluster.startRouter(id, "z" + i % ZONES);
    }
    return others;
  }

  /** Bytes of voters, bytes of others, messages of all. */
  private static double[] traffic(
      SimulatedCluster cluster, List<String> voters, List<String> others) {
    return new double[] {
      voters.stream().mapToLong(cluster::controlBytes).sum(),
      others.stream().mapToLong(cluster::controlBytes).sum(),
      cluster.routerIds().stream().mapToLong(cluster::controlMessages).sum()
    };
  }

  /** Seconds until a new version is in force at every router, and accepted at every router. */
  private static double[] changeConfiguration(SimulatedCluster cluster) {
    Duration start = cluster.now();
    cluster.changeConfiguration(document(2));
    double inForce = awaitSeconds(cluster, start, router -> inForce(cluster, router) == 2);
    double accepted = awaitSeconds(cluster, start, router -> accepted(cluster, router) == 2);
    return new double[] {inForce, accepted};
  }

  /** Seconds until nine in ten routers know that one has failed. */
  private static double killOne(SimulatedCluster cluster, List<String> others) {
    String victim = others.get(0);
    Duration start = cluster.now();
    cluster.killRouter(victim);
    while (cluster.now().minus(start).compareTo(LONGEST) < 0) {
      long knowing =
          cluster.routerIds().stream()
              .flatMap(router -> cluster.core(router).stream())
              .filter(core -> core.considersDead(victim))
              .count();
      if (knowing >= 0.9 * (cluster.routerIds().size() - 1)) {
        break;
      }
      cluster.advance(POLL);
    }
    return cluster.now().minus(start).toMillis() / 1_000.0;
  }

  private static double awaitSeconds(
      SimulatedCluster cluster, Duration start, Predicate<String> condition) {
    while (!cluster.routerIds().stream().allMatch(condition)
        && cluster.now().minus(start).compareTo(LONGEST) < 0) {
      cluster.advance(POLL);
    }
    return cluster.now().minus(start).toMillis() / 1_000.0;
  }

  private static long inForce(SimulatedCluster cluster, String router) {
    return cluster.core(router).orElseThrow().configurationStore().inForceId().version();
  }

  private static long accepted(SimulatedCluster cluster, String router) {
    return cluster.core(router).orElseThrow().configurationStore().accepted().version();
  }

  private static ConfigurationDocument document(long version) {
    ImmutableList.Builder<ZoneSpec> zones = ImmutableList.builder();
    for (int zone = 0; zone < ZONES; zone++) {
      ImmutableList.Builder<String> voters = ImmutableList.builder();
      for (int voter = 0; voter < VOTERS_PER_ZONE; voter++) {
        voters.add("z" + zone + "v" + voter);
      }
      zones.add(new ZoneSpec("z" + zone, "r" + zone / 2, voters.build()));
    }
    AtomicInteger port = new AtomicInteger(FIRST_PORT);
    return new DeploymentBuilder(zones.build(), () -> "127.0.0.2:" + port.getAndIncrement())
        .version(version)
        .replicas("hollow", BACKENDS, 2, 110)
        .kind(
            new ConfigurationDocument.KindSpec(
                "hollow",
                Operation.SEARCH,
                "hollow",
                "1s",
                0,
                0,
                true,
                ImmutableList.of(
                    new ConfigurationDocument.RuleSpec(
                        "service = hollow", Optional.empty(), Optional.empty()))))
        .build();
  }

  private static long processCpuNanos() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  private static long usedHeap() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}

package io.arrowarch.emulator.experiment;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.emulator.backend.ServiceTimes;
import io.arrowarch.emulator.simulation.SimulatedCluster;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * Tail latency, coverage and extra load of a sample deployment under faults, beside the hedging
 * baselines, in virtual time.
 */
public final class TailExperiment implements Experiment {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration WARM_UP = Duration.ofSeconds(6);
  private static final Duration LENGTH = Duration.ofSeconds(10);
  private static final Duration FAULT_START = WARM_UP.plusSeconds(1);
  private static final Duration FAULT_LENGTH = Duration.ofSeconds(4);
  private static final double USUAL_LOAD = 0.6;
  private static final double OVERLOAD = 1.2;
  private static final ServiceTimes SERVICE = ServiceTimes.around(Duration.ofMillis(10));
  private static final double MEAN_SERVICE_SECONDS = 0.010 * Math.exp(0.3 * 0.3 / 2);
  private static final String FIRST = "-0-a";
  private static final String SECOND = "-0-b";

  private final String title;
  private final ConfigurationDocument document;
  private final String kind;
  private final String service;

  /**
   * Creates an experiment.
   *
   * @param kind a search of the deployment
   * @param service the service that the search goes to
   */
  public TailExperiment(String title, ConfigurationDocument document, String kind, String service) {
    this.title = title;
    this.document = onlyService(document, service);
    this.kind = kind;
    this.service = service;
  }

  private record Fault(double load, Consumer<SimulatedCluster> apply) {}

  @Override
  public Report run(long seed) {
    Report report =
        new Report(
            title + ", seed " + seed,
            "fault",
            "policy",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "coverage",
            "answered",
            "extra",
            "goodput/s",
            "errors");
    for (Map.Entry<String, Fault> fault : faults().entrySet()) {
      for (Map.Entry<String, HedgePolicy> policy : HedgePolicies.ALL.entrySet()) {
        measure(report, seed, fault, policy);
      }
    }
    return report;
  }

  private void measure(
      Report report,
      long seed,
      Map.Entry<String, Fault> fault,
      Map.Entry<String, HedgePolicy> policy) {
    SimulatedCluster cluster = new SimulatedCluster(document, seed, SERVICE, policy.getValue());
    cluster.after(FAULT_START, () -> fault.getValue().apply().accept(cluster));
    QueryLoad load = new QueryLoad(cluster, seed, kind, rate(fault.getValue().load()));
    load.run(WARM_UP, LENGTH);
    report.addRow(
        fault.getKey(),
        policy.getKey(),
        load.millis(0.5),
        load.millis(0.99),
        load.millis(0.999),
        load.coverage(),
        load.answeredFraction(),
        load.extraAttemptFraction(),
        load.answeredPerSecond(LENGTH),
        load.errors().isEmpty() ? "none" : load.errors().toString().replace(',', ' '));
    addPlots(report, fault.getKey(), policy.getKey(), load);
    logger.atInfo().log("Experiment: measured %s with %s.", fault.getKey(), policy.getKey());
  }

  private static void addPlots(Report report, String fault, String policy, QueryLoad load) {
    Histogram latency = load.latencyMicros();
    double[] quantiles = new double[200];
    double[] millis = new double[quantiles.length];
    for (int i = 0; i < quantiles.length; i++) {
      quantiles[i] = (i + 0.5) / quantiles.length;
      millis[i] = latency.getValueAtPercentile(100 * quantiles[i]) / 1_000.0;
    }
    report.addLine("Latency: " + fault, "ms", "fraction of answers", policy, millis, quantiles);
    double[][] coverage = load.coverageOverTime();
    if (coverage[0].length > 0) {
      report.addLine("Coverage: " + fault, "s", "mean coverage", policy, coverage[0], coverage[1]);
    }
  }

  /** The other services cost simulated probes and change nothing here. */
  private static ConfigurationDocument onlyService(ConfigurationDocument document, String service) {
    return new ConfigurationDocument(
        document.version(),
        document.zones(),
        document.layouts().stream().filter(l -> l.name().equals(service)).toList(),
        document.backends().stream().filter(b -> b.id().startsWith(service)).toList(),
        document.kinds().stream().filter(k -> k.layout().equals(service)).toList());
  }

  /** Queries per second that use this fraction of the service's slots. */
  private double rate(double load) {
    int slots =
        document.backends().stream()
            .filter(backend -> backend.id().startsWith(service))
            .mapToInt(backend -> backend.slots())
            .sum();
    int shards =
        document.layouts().stream()
            .filter(layout -> layout.name().equals(service))
            .findFirst()
            .orElseThrow()
            .shards()
            .size();
    return load * slots / MEAN_SERVICE_SECONDS / shards;
  }

  private ImmutableMap<String, Fault> faults() {
    String first = service + FIRST;
    String second = service + SECOND;
    return ImmutableMap.<String, Fault>builder()
        .put("none", new Fault(USUAL_LOAD, cluster -> {}))
        .put(
            "1% ten times slower",
            new Fault(USUAL_LOAD, c -> c.setServiceTimes(SERVICE.withSlow(0.01, 10))))
        .put(
            "replica frozen",
            new Fault(
                USUAL_LOAD,
                c -> {
                  c.freezeBackend(first);
                  c.after(FAULT_LENGTH, () -> c.wakeBackend(first));
                }))
        .put(
            "replica dies",
            new Fault(
                USUAL_LOAD,
                c -> {
                  c.killBackend(first);
                  c.after(FAULT_LENGTH, () -> c.startBackend(first));
                }))
        .put(
            "group frozen",
            new Fault(
                USUAL_LOAD,
                c -> {
                  c.freezeBackend(first);
                  c.freezeBackend(second);
                  c.after(FAULT_LENGTH, () -> c.wakeBackend(first));
                  c.after(FAULT_LENGTH, () -> c.wakeBackend(second));
                }))
        .put("roll-over", new Fault(USUAL_LOAD, c -> c.rollSnapshot(Duration.ofMillis(100))))
        .put("load 120%", new Fault(OVERLOAD, cluster -> {}))
        .buildOrThrow();
  }
}

package io.arrowarch.emulator.experiment;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.query.QueryAnswer;
import io.arrowarch.core.query.QueryCounters;
import io.arrowarch.core.query.QueryRequest;
import io.arrowarch.emulator.simulation.SimulatedCluster;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/** Poisson traffic of one kind over the routers of a simulated cluster, with its figures. */
final class QueryLoad {
  private static final long MAXIMUM_MICROS = Duration.ofMinutes(1).toNanos() / 1_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int LIMIT = 10;
  private static final Duration COVERAGE_WINDOW = Duration.ofMillis(250);

  private final SimulatedCluster cluster;
  private final Random random;
  private final String kind;
  private final double meanIntervalNanos;
  private final Histogram micros = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
  private final TreeMap<Long, double[]> coverageByWindow = new TreeMap<>();
  private final Map<String, Integer> errors = new TreeMap<>();
  private long number;
  private long asked;
  private long answered;
  private double coverageSum;
  private boolean measuring;
  private boolean stopped;
  private long firstAttemptsBefore;
  private long extraAttemptsBefore;

  QueryLoad(SimulatedCluster cluster, long seed, String kind, double queriesPerSecond) {
    this.cluster = cluster;
    this.random = new Random(seed);
    this.kind = kind;
    this.meanIntervalNanos = 1e9 / queriesPerSecond;
  }

  /** Runs the traffic for a warm-up, then measures for the given length. */
  void run(Duration warmUp, Duration length) {
    scheduleNext();
    cluster.advance(warmUp);
    measuring = true;
    firstAttemptsBefore = sum(QueryCounters::firstAttempts);
    extraAttemptsBefore = extraAttempts();
    cluster.advance(length);
    stopped = true;
    cluster.advance(Duration.ofSeconds(1));
  }

  double millis(double quantile) {
    return micros.getValueAtPercentile(quantile * 100) / 1_000.0;
  }

  /** Share of the data that answers covered, an error counting as none. */
  double coverage() {
    return asked == 0 ? 0 : coverageSum / asked;
  }

  /** Fraction of queries that were answered. */
  double answeredFraction() {
    return asked == 0 ? 0 : (double) answered / asked;
  }

  double answeredPerSecond(Duration length) {
    return answered / (length.toNanos() / 1e9);
  }

  /** Attempts beyond the first of each shard, as a fraction of those. */
  double extraAttemptFraction() {
    double first = sum(QueryCounters::firstAttempts) - firstAttemptsBefore;
    return (extraAttempts() - extraAttemptsBefore) / first;
  }

  Map<String, Integer> errors() {
    return errors;
  }

  Histogram latencyMicros() {
    return micros;
  }

  /** Seconds since the start of the simulation, and mean coverage of queries sent then. */
  double[][] coverageOverTime() {
    double[][] points = new double[2][coverageByWindow.size()];
    int i = 0;
    for (Map.Entry<Long, double[]> window : coverageByWindow.entrySet()) {
      points[0][i] = window.getKey() * COVERAGE_WINDOW.toMillis() / 1_000.0;
      points[1][i] = window.getValue()[0] / window.getValue()[1];
      i++;
    }
    return points;
  }

  private long extraAttempts() {
    return sum(QueryCounters::hedges) + sum(QueryCounters::retries);
  }

  private long sum(ToLongFunction<QueryCounters> counter) {
    return cluster.routerIds().stream()
        .flatMap(router -> cluster.core(router).stream())
        .mapToLong(core -> counter.applyAsLong(core.counters()))
        .sum();
  }

  private void scheduleNext() {
    if (stopped) {
      return;
    }
    long wait = (long) (-Math.log(1 - random.nextDouble()) * meanIntervalNanos);
    cluster.after(
        Duration.ofNanos(wait),
        () -> {
          scheduleNext();
          ask();
        });
  }

  private void ask() {
    List<String> alive =
        cluster.routerIds().stream().filter(router -> cluster.core(router).isPresent()).toList();
    String router = alive.get(random.nextInt(alive.size()));
    QueryRequest request =
        new QueryRequest(
            "q" + number++,
            kind,
            Optional.empty(),
            LIMIT,
            Optional.empty(),
            Optional.empty(),
            JsonNodeFactory.instance.objectNode());
    Duration start = cluster.now();
    boolean measured = measuring;
    asked += measured ? 1 : 0;
    cluster.submit(router, request, outcome -> onOutcome(start, measured, outcome));
  }

  private void onOutcome(
      Duration start, boolean measured, Either<QueryError, QueryAnswer> outcome) {
    if (!measured) {
      return;
    }
    double coverage = outcome.map(answer -> answer.coverage().fraction()).getOrElse(0.0);
    double[] window =
        coverageByWindow.computeIfAbsent(
            start.toMillis() / COVERAGE_WINDOW.toMillis(), key -> new double[2]);
    window[0] += coverage;
    window[1]++;
    coverageSum += coverage;
    if (outcome.isRight()) {
      answered++;
      micros.recordValue(cluster.now().minus(start).toNanos() / 1_000);
    } else {
      errors.merge(outcome.getLeft().kind().wireName(), 1, Integer::sum);
    }
  }
}

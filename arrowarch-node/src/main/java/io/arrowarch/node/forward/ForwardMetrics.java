package io.arrowarch.node.forward;

import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.forward.ForwardedAnswer;
import io.arrowarch.core.forward.ForwardedRequest;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/** Metrics of a process that passes requests on. Names and units stand in docs/OPERATIONS.md. */
public final class ForwardMetrics {
  private static final int EARLY_VALUES = 2_000;

  /** Shorter turns of the event loop are not recorded: there are many, and none matters. */
  private static final Duration SHORTEST_RECORDED_TURN = Duration.ofMillis(10);

  private static final Duration[] TURN_BUCKETS = {
    Duration.ofMillis(20),
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(250),
    Duration.ofMillis(500),
    Duration.ofSeconds(1),
    Duration.ofSeconds(2)
  };

  private final Map<String, Timer> timers = new HashMap<>();
  private Optional<Timer> turns = Optional.empty();
  private final List<Consumer<PrometheusMeterRegistry>> early = new ArrayList<>();
  private Optional<PrometheusMeterRegistry> registry = Optional.empty();

  /** Makes the registry, for which a start does not wait, and takes what came before. */
  void open() {
    if (registry.isEmpty()) {
      PrometheusMeterRegistry made = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      registry = Optional.of(made);
      early.forEach(value -> value.accept(made));
      early.clear();
    }
  }

  /** Takes the outcome of a request. */
  void onOutcome(
      ForwardedRequest request, Either<QueryError, ForwardedAnswer> outcome, long nanos) {
    String name = nameOf(outcome);
    take(
        meters ->
            timers
                .computeIfAbsent(name, key -> createTimer(meters, key))
                .record(nanos, TimeUnit.NANOSECONDS));
  }

  /** Takes the length of a turn of the event loop. */
  void onTurn(Duration turn) {
    if (turn.compareTo(SHORTEST_RECORDED_TURN) >= 0) {
      take(
          meters -> {
            if (turns.isEmpty()) {
              turns =
                  Optional.of(
                      Timer.builder("arrowarch.loop.turn")
                          .serviceLevelObjectives(TURN_BUCKETS)
                          .register(meters));
            }
            turns.get().record(turn);
          });
    }
  }

  <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
    take(meters -> Gauge.builder(name, source, value).register(meters));
  }

  /** All metrics in Prometheus text form. */
  String scrape() {
    open();
    return registry.orElseThrow().scrape();
  }

  private void take(Consumer<PrometheusMeterRegistry> value) {
    if (registry.isPresent()) {
      value.accept(registry.get());
    } else if (early.size() < EARLY_VALUES) {
      early.add(value);
    }
  }

  private static String nameOf(Either<QueryError, ForwardedAnswer> outcome) {
    if (outcome.isLeft()) {
      return outcome.getLeft().kind().wireName();
    }
    boolean partial =
        outcome.get() instanceof ForwardedAnswer.Merged merged && merged.missingParts() > 0;
    return partial ? "partial" : "answered";
  }

  private static Timer createTimer(PrometheusMeterRegistry registry, String outcome) {
    return Timer.builder("arrowarch.request.duration")
        .tag("outcome", outcome)
        .publishPercentiles(0.5, 0.9, 0.99)
        .register(registry);
  }
}

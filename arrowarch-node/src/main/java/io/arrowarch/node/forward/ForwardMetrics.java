package io.arrowarch.node.forward;

import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.forward.ForwardedAnswer;
import io.arrowarch.core.forward.ForwardedRequest;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/** Metrics of a process that passes requests on. Names and units stand in docs/OPERATIONS.md. */
public final class ForwardMetrics {
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<String, Timer> timers = new HashMap<>();
  private final Map<String, Counter> counters = new HashMap<>();

  /** Takes the outcome of a request. */
  void onOutcome(
      ForwardedRequest request, Either<QueryError, ForwardedAnswer> outcome, long nanos) {
    timers.computeIfAbsent(nameOf(outcome), this::createTimer).record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Counts an event. */
  void count(String name) {
    counters.computeIfAbsent(name, key -> Counter.builder(key).register(registry)).increment();
  }

  <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
    Gauge.builder(name, source, value).register(registry);
  }

  /** All metrics in Prometheus text form. */
  String scrape() {
    return registry.scrape();
  }

  private static String nameOf(Either<QueryError, ForwardedAnswer> outcome) {
    if (outcome.isLeft()) {
      return outcome.getLeft().kind().wireName();
    }
    boolean partial =
        outcome.get() instanceof ForwardedAnswer.Merged merged && merged.missingParts() > 0;
    return partial ? "partial" : "answered";
  }

  private Timer createTimer(String outcome) {
    return Timer.builder("arrowarch.request.duration")
        .tag("outcome", outcome)
        .publishPercentiles(0.5, 0.9, 0.99)
        .register(registry);
  }
}

package io.arrowarch.node;

import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.query.QueryAnswer;
import io.arrowarch.core.query.QueryCounters;
import io.arrowarch.core.router.RouterCore;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/** Metrics of one router in Prometheus form. Names and units stand in docs/OPERATIONS.md. */
final class RouterMetrics {
  private static final String ANSWERED = "answered";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<TimerKey, Timer> timers = new HashMap<>();

  private record TimerKey(String kind, String outcome) {}

  RouterMetrics() {
    new JvmMemoryMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
  }

  /** Registers the meters that read the core and the transports. */
  void bind(RouterCore core, BackendClient backends, PeerEndpoint peers) {
    QueryCounters counters = core.counters();
    count("arrowarch.queries", counters, QueryCounters::queries);
    count("arrowarch.answers.partial", counters, QueryCounters::partialAnswers);
    count("arrowarch.attempts.first", counters, QueryCounters::firstAttempts);
    count("arrowarch.attempts.hedge", counters, QueryCounters::hedges);
    count("arrowarch.attempts.retry", counters, QueryCounters::retries);
    count("arrowarch.replans", counters, QueryCounters::replans);
    count("arrowarch.replies.late", counters, QueryCounters::lateReplies);
    count("arrowarch.replies.invalid", counters, QueryCounters::invalidReplies);
    count("arrowarch.backend.sent.bytes", backends, BackendClient::bytesSent);
    count("arrowarch.backend.received.bytes", backends, BackendClient::bytesReceived);
    count("arrowarch.peer.sent.bytes", peers, PeerEndpoint::bytesSent);
    count("arrowarch.peer.messages", peers, PeerEndpoint::messagesSent);
    gauge("arrowarch.queries.pending", core, RouterCore::pendingQueries);
    gauge(
        "arrowarch.config.version.in.force",
        core,
        router -> router.configurationStore().inForceId().version());
    gauge(
        "arrowarch.config.version.accepted",
        core,
        router -> router.configurationStore().accepted().version());
    gauge("arrowarch.ready", core, router -> router.isReady() ? 1 : 0);
  }

  /** Takes the outcome of one query. */
  void onOutcome(String kind, Either<QueryError, QueryAnswer> outcome, long nanos) {
    String name = outcome.fold(error -> error.kind().wireName(), answer -> ANSWERED);
    // An unknown kind is the caller's text, which must not become a label without bound.
    String boundedKind = name.equals("unknown-kind") ? "unknown" : kind;
    timers
        .computeIfAbsent(new TimerKey(boundedKind, name), this::createTimer)
        .record(nanos, TimeUnit.NANOSECONDS);
  }

  String scrape() {
    return registry.scrape();
  }

  private Timer createTimer(TimerKey key) {
    return Timer.builder("arrowarch.query.duration")
        .tag("kind", key.kind())
        .tag("outcome", key.outcome())
        .publishPercentiles(0.5, 0.9, 0.99, 0.999)
        .register(registry);
  }

  private <T> void count(String name, T source, ToDoubleFunction<T> value) {
    FunctionCounter.builder(name, source, value).register(registry);
  }

  private <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
    Gauge.builder(name, source, value).register(registry);
  }
}

package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.suspect.RequestKey;
import io.arrowarch.core.suspect.SuspectRequests;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Refuses quarantined requests, which have crashed servers. A request that is only suspected is
 * first sent to a single server as a canary, or refused if no canary may be sent now. While no
 * request is suspected, no request key is computed.
 */
final class CrashGuard {
  /**
   * How long a canary goes on after its caller has left. Its outcome concerns later callers too,
   * and it occupies one server only.
   */
  private static final Duration CANARY_LINGER = Duration.ofMillis(400);

  private static final String DETAIL = "servers that ran this request have ended";

  private final SuspectRequests suspects;
  private final Predicate<String> hasServer;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final RandomGenerator random;
  private final Refusals refusals;

  /** Runs requests that the guard admits. */
  interface Runner {
    /**
     * Runs a request or its canary.
     *
     * @param mayDelegate whether parts may be delegated to other routers
     */
    ForwardHandle run(
        ForwardedRequest request,
        Route route,
        RequestMonitor monitor,
        boolean mayDelegate,
        Consumer<Either<QueryError, ForwardedAnswer>> sink);
  }

  /**
   * Creates a guard.
   *
   * @param hasServer whether a service has a usable server at the moment
   */
  CrashGuard(
      SuspectRequests suspects,
      Predicate<String> hasServer,
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      Refusals refusals) {
    this.suspects = suspects;
    this.hasServer = hasServer;
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.refusals = refusals;
  }

  /** Runs a request, runs a canary of it first, or refuses it. */
  ForwardHandle run(
      ForwardedRequest request,
      Route route,
      RunPermit permit,
      Runner runner,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    if (suspects.isEmpty()) {
      return runner.run(request, route, RequestMonitor.of(suspects, request, permit), true, sink);
    }
    RequestKey key = RequestMonitor.keyOf(request);
    return switch (suspects.admit(key)) {
      case RUN ->
          runner.run(request, route, RequestMonitor.of(suspects, request, permit), true, sink);
      case REFUSE -> refusals.refuse(request, ErrorKind.ENDS_SERVERS, DETAIL, sink);
      case CANARY -> {
        Canary canary = new Canary(request, route, permit, key, runner, sink);
        canary.start();
        yield canary;
      }
    };
  }

  /**
   * Runs a suspected request on one server first. If that server answers a search otherwise than
   * with a server error, the whole search is run as usual. If no server answers, or if the route
   * leads to one server, the canary's outcome is the outcome of the request.
   */
  private final class Canary implements ForwardHandle {
    private final ForwardedRequest request;
    private final Route route;
    private final RunPermit permit;
    private final RequestKey key;
    private final Runner runner;
    private final Consumer<Either<QueryError, ForwardedAnswer>> sink;
    private final long startNanos = clock.nanoTime();
    private final RequestMonitor monitor;
    private ForwardHandle running = ForwardHandle.NONE;
    private boolean ended;
    private boolean passed;
    private boolean callerLeft;

    Canary(
        ForwardedRequest request,
        Route route,
        RunPermit permit,
        RequestKey key,
        Runner runner,
        Consumer<Either<QueryError, ForwardedAnswer>> sink) {
      this.request = request;
      this.route = route;
      this.permit = permit;
      this.key = key;
      this.runner = runner;
      this.sink = sink;
      this.monitor = RequestMonitor.ofCanary(suspects, request, permit);
    }

    void start() {
      ForwardHandle canary = runner.run(request, onOneServer(route), monitor, false, this::onEnded);
      if (!passed) {
        running = canary;
      }
    }

    private void onEnded(Either<QueryError, ForwardedAnswer> outcome) {
      boolean mayHaveRun = outcome.isRight() || outcome.getLeft().executed() != Executed.NO;
      ended = true;
      suspects.onCanaryEnded(key, mayHaveRun);
      if (callerLeft) {
        return;
      }
      boolean isWhole = route.target() instanceof RouteTarget.OneServer;
      if (isWhole || !monitor.isAnswered()) {
        sink.accept(outcome);
        return;
      }
      passed = true;
      ForwardedRequest remaining =
          request.afterWaiting(Duration.ofNanos(clock.nanoTime() - startNanos));
      running =
          runner.run(
              remaining, route, RequestMonitor.ofAnswered(suspects, remaining, permit), true, sink);
    }

    @Override
    public void cancel() {
      if (ended) {
        running.cancel();
        return;
      }
      if (!running.mayHaveRun()) {
        ended = true;
        running.cancel();
        suspects.onCanaryEnded(key, false);
        return;
      }
      callerLeft = true;
      timers.schedule(clock.nanoTime() + CANARY_LINGER.toNanos(), this::giveUp);
    }

    private void giveUp() {
      if (!ended) {
        running.cancel();
        suspects.onCanaryEnded(key, true);
      }
    }
  }

  /** For a search, one shard is enough to see whether a server survives it. */
  private Route onOneServer(Route route) {
    Route once = route.withMaximumAttempts(1);
    return route.target() instanceof RouteTarget.AllShards search
        ? once.withTarget(
            new RouteTarget.AllShards(ImmutableList.of(anyShard(search)), search.limit(), 1))
        : once;
  }

  private String anyShard(RouteTarget.AllShards search) {
    List<String> shuffled = new ArrayList<>(search.services());
    for (int i = shuffled.size() - 1; i > 0; i--) {
      Collections.swap(shuffled, i, random.nextInt(i + 1));
    }
    return shuffled.stream().filter(hasServer).findFirst().orElse(shuffled.get(0));
  }
}

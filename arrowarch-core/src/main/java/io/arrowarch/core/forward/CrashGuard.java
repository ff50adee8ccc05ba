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
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Keeps requests from servers that have ended servers, and sends those of which that is not sure to
 * one server first. A request of which nothing is known passes without being looked at.
 */
final class CrashGuard {
  private static final String DETAIL = "servers that ran this request have ended";

  private final SuspectRequests suspects;
  private final Predicate<String> hasServer;
  private final RouterClock clock;
  private final RandomGenerator random;
  private final Refusals refusals;

  /** Runs a request that may run. */
  interface Runner {
    /**
     * Runs it, or a canary of it.
     *
     * @param mayHandOn whether other routers may gather for it
     */
    ForwardHandle run(
        ForwardedRequest request,
        Route route,
        RequestWatch watch,
        boolean mayHandOn,
        Consumer<Either<QueryError, ForwardedAnswer>> sink);
  }

  /**
   * Creates a guard.
   *
   * @param hasServer whether a service has a server that can be used now
   */
  CrashGuard(
      SuspectRequests suspects,
      Predicate<String> hasServer,
      RouterClock clock,
      RandomGenerator random,
      Refusals refusals) {
    this.suspects = suspects;
    this.hasServer = hasServer;
    this.clock = clock;
    this.random = random;
    this.refusals = refusals;
  }

  /** Runs a request, tries it on one server first, or refuses it. */
  ForwardHandle run(
      ForwardedRequest request,
      Route route,
      RunPermit permit,
      Runner runner,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    if (suspects.isEmpty()) {
      return runner.run(request, route, RequestWatch.of(suspects, request, permit), true, sink);
    }
    RequestKey key = RequestWatch.keyOf(request);
    return switch (suspects.admit(key)) {
      case RUN ->
          runner.run(request, route, RequestWatch.of(suspects, request, permit), true, sink);
      case REFUSE -> refusals.refuse(request, ErrorKind.ENDS_SERVERS, DETAIL, sink);
      case CANARY -> {
        Canary canary = new Canary(request, route, permit, key, runner, sink);
        canary.start();
        yield canary;
      }
    };
  }

  /** A request on one server, and then as usual if that answers it. */
  private final class Canary implements ForwardHandle {
    private final ForwardedRequest request;
    private final Route route;
    private final RunPermit permit;
    private final RequestKey key;
    private final Runner runner;
    private final Consumer<Either<QueryError, ForwardedAnswer>> sink;
    private final long startNanos = clock.nanoTime();
    private final RequestWatch watch;
    private ForwardHandle running = ForwardHandle.NONE;
    private boolean passed;

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
      this.watch = RequestWatch.ofCanary(suspects, request, permit);
    }

    void start() {
      ForwardHandle canary = runner.run(request, onOneServer(route), watch, false, this::onEnded);
      if (!passed) {
        running = canary;
      }
    }

    private void onEnded(Either<QueryError, ForwardedAnswer> outcome) {
      boolean mayHaveRun = outcome.isRight() || outcome.getLeft().executed() != Executed.NO;
      suspects.onCanaryEnded(key, mayHaveRun);
      boolean isWhole = route.target() instanceof RouteTarget.OneServer;
      if (isWhole || !watch.isAnswered()) {
        sink.accept(outcome);
        return;
      }
      passed = true;
      ForwardedRequest left = request.after(Duration.ofNanos(clock.nanoTime() - startNanos));
      running =
          runner.run(left, route, RequestWatch.ofAnswered(suspects, left, permit), true, sink);
    }

    @Override
    public void cancel() {
      running.cancel();
      suspects.onCanaryEnded(key, true);
    }
  }

  /** Of a search one shard is enough to see whether its server survives it. */
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

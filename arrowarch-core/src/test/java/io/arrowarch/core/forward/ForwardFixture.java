package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.feed.FeedBounds;
import io.arrowarch.core.intake.ArrivalPoll;
import io.arrowarch.core.intake.NoArrivals;
import io.arrowarch.core.route.CallerLimits;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.route.ServiceSettings;
import io.arrowarch.core.server.LoadReport;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.server.ServerEntry;
import io.arrowarch.core.tenant.LimitRules;
import io.arrowarch.core.tenant.RevocationRules;
import io.arrowarch.core.tenant.Tenant;
import io.arrowarch.core.tenant.TenantRules;
import io.arrowarch.core.tenant.Tenants;
import io.arrowarch.core.time.TimerQueue;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/** A coordinator in virtual time; its attempts stay open until the test answers them. */
final class ForwardFixture implements ServerTransport {
  static final Duration OBJECTIVE = Duration.ofMillis(200);
  static final Duration TIMEOUT = Duration.ofSeconds(2);
  static final int CONNECTIONS = 40;
  private static final int MAXIMUM_REQUESTS = 100;

  /** Requests of a revoked API key must not run more than three seconds after the revocation. */
  static final TenantRules RULES =
      new TenantRules(
          new RevocationRules(true, Duration.ofSeconds(3)),
          new LimitRules(Duration.ofSeconds(5), 0.25, 20));

  final FakeClock clock;
  final TimerQueue timers = new TimerQueue();
  final ServerDirectory directory = new ServerDirectory(Duration.ofMillis(1_500));
  final List<ServerAttempt> sent = new ArrayList<>();

  /** When each of {@link #sent} was sent, in nanoseconds. */
  final List<Long> sentAtNanos = new ArrayList<>();

  final List<ServerAttempt> cancelled = new ArrayList<>();
  final List<Either<QueryError, ForwardedAnswer>> outcomes = new ArrayList<>();
  final ForwardCoordinator coordinator;
  private final Consumer<ServerAttempt> onSent;
  private int nextRequest = 1;

  /** Regions of routes that are configured from now on. */
  ImmutableSet<String> regions = ImmutableSet.of();

  /** Whether routes that are configured from now on need no API key. */
  boolean isPublic;

  /** Tenants of configurations that are set from now on. */
  ImmutableList<Tenant> tenants = ImmutableList.of();

  /** Age of the router's view of the store; empty if unknown. */
  Optional<Duration> viewAge = Optional.of(Duration.ZERO);

  /** Caller of requests that are submitted from now on. */
  Caller caller = Caller.ANONYMOUS;

  /** Request rate limit of cold servers in configurations set from now on; 0 for no limit. */
  double coldRequestsPerSecond;

  ForwardFixture() {
    this(4);
  }

  ForwardFixture(int routers) {
    // Past the first window, in which only a part of the allowance may be spent.
    this(routers, Duration.ofSeconds(11));
  }

  ForwardFixture(int routers, Duration age) {
    this(new FakeClock(), "zone-a", RouterGroup.ofCount(routers));
    advance(age);
  }

  /** Creates one of several routers that share a clock. */
  ForwardFixture(FakeClock clock, String zone, RouterGroup group) {
    this(clock, "router-a", zone, group, attempt -> {});
  }

  /**
   * Creates one of several routers that share a clock.
   *
   * @param onSent also receives each attempt that is sent
   */
  ForwardFixture(
      FakeClock clock, String id, String zone, RouterGroup group, Consumer<ServerAttempt> onSent) {
    this(clock, id, zone, group, MAXIMUM_REQUESTS, onSent);
  }

  /**
   * Creates one of several routers that share a clock.
   *
   * @param onSent also receives each attempt that is sent
   */
  ForwardFixture(
      FakeClock clock,
      String id,
      String zone,
      RouterGroup group,
      int maximumRequests,
      Consumer<ServerAttempt> onSent) {
    this(clock, id, zone, group, maximumRequests, new NoArrivals(), onSent);
  }

  /**
   * Creates one of several routers that share a clock.
   *
   * @param arrivals tells when what has arrived is handled
   * @param onSent also receives each attempt that is sent
   */
  ForwardFixture(
      FakeClock clock,
      String id,
      String zone,
      RouterGroup group,
      int maximumRequests,
      ArrivalPoll arrivals,
      Consumer<ServerAttempt> onSent) {
    this.clock = clock;
    this.onSent = onSent;
    coordinator =
        new ForwardCoordinator(
            new ForwardOptions(
                id,
                zone,
                1,
                maximumRequests,
                new ExtraAttemptRules(0.2, 56, Duration.ofSeconds(10)),
                Duration.ofSeconds(5),
                new FeedBounds(
                    Duration.ofSeconds(4), Duration.ofSeconds(3), Duration.ofSeconds(3), false),
                new ColdServerRules(1.5, 5),
                ImmutableMap.of("zone-a", "north", "zone-b", "south"),
                RULES,
                ImmutableSet.of()),
            clock,
            timers,
            arrivals,
            new Random(1),
            directory,
            this,
            EventLog.NONE,
            group,
            () -> viewAge);
  }

  /** Routes all requests: a single service as one server, several as the shards of a search. */
  void route(boolean repeatable, String... services) {
    route(1, repeatable, services);
  }

  void route(long version, boolean repeatable, String... services) {
    RouteTarget target =
        services.length == 1
            ? new RouteTarget.OneServer(
                ImmutableList.of(new RouteTarget.WeightedService(services[0], 1)))
            : new RouteTarget.AllShards(ImmutableList.copyOf(services), 4, 0.5);
    route(version, repeatable, target);
  }

  void route(boolean repeatable, RouteTarget target) {
    route(1, repeatable, target);
  }

  private void route(long version, boolean repeatable, RouteTarget target) {
    Route route =
        new Route(
            "route", "host", "/", repeatable, TIMEOUT, OBJECTIVE, 2, 0, isPublic, regions, target);
    ImmutableMap.Builder<String, ServiceSettings> settings = ImmutableMap.builder();
    for (String service : List.of("s", "s1", "s2", "s3", "s4", "s5", "s6")) {
      settings.put(
          service,
          new ServiceSettings(service, CONNECTIONS, Duration.ofSeconds(3), coldRequestsPerSecond));
    }
    coordinator.reconfigure(
        new RoutingConfiguration(
            version,
            ImmutableList.of(route),
            settings.buildOrThrow(),
            CallerLimits.DEFAULT,
            new Tenants(tenants)));
  }

  void server(String id, String service) {
    directory.onEntry(entry(id, service, false), clock.nanoTime());
  }

  void serverOf(String zone, String id, String service) {
    directory.onEntry(
        new ServerEntry(id, service, "10.0.0.1:80", zone, 2, false, Duration.ZERO),
        clock.nanoTime());
  }

  static ServerEntry entry(String id, String service, boolean draining) {
    return new ServerEntry(id, service, "10.0.0.1:80", "zone-a", 2, draining, Duration.ZERO);
  }

  ForwardHandle submit() {
    return submit(TIMEOUT);
  }

  ForwardHandle submit(Duration timeLeft) {
    return submit("request-" + nextRequest++, "/path", timeLeft);
  }

  /** Submits a request that may have waited in its socket. */
  ForwardHandle submitUnread(Duration timeLeft, Duration unread) {
    return coordinator.submit(
        request("request-" + nextRequest++, "/path", timeLeft).withUnread(unread), outcomes::add);
  }

  ForwardHandle submit(String id, String path, Duration timeLeft) {
    return submit(id, path, timeLeft, outcomes::add);
  }

  ForwardHandle submit(
      String id,
      String path,
      Duration timeLeft,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    return coordinator.submit(request(id, path, timeLeft), sink);
  }

  /** A request that has not been submitted. */
  ForwardedRequest request(String id, String path, Duration timeLeft) {
    return new ForwardedRequest(
        id, Optional.of(timeLeft), "GET", "host", path, caller, ImmutableList.of(), Payload.EMPTY);
  }

  void advance(Duration length) {
    clock.advance(length);
    timers.runDue(clock.nanoTime());
  }

  /** Advances in steps, as the event loop of a process does. */
  void advanceInSteps(Duration length) {
    for (long millis = 0; millis < length.toMillis(); millis++) {
      advance(Duration.ofMillis(1));
    }
  }

  ServerAttempt attempt(int index) {
    return sent.get(index);
  }

  ServerAttempt last() {
    return sent.get(sent.size() - 1);
  }

  void answer(ServerAttempt attempt) {
    coordinator.onReply(attempt.number(), good(attempt));
  }

  void answer(ServerAttempt attempt, ServerReply reply) {
    coordinator.onReply(attempt.number(), reply);
  }

  void fail(ServerAttempt attempt, ServerFailure failure) {
    coordinator.onFailure(attempt.number(), failure);
  }

  static ServerReply good(ServerAttempt attempt) {
    return reply(200, Optional.of("signed-" + attempt.number()), false, false);
  }

  static ServerReply shed() {
    return reply(503, Optional.empty(), true, false);
  }

  static ServerReply misdirected() {
    return reply(421, Optional.empty(), true, true);
  }

  static ServerReply serverError() {
    return reply(500, Optional.of("signed-failure"), false, false);
  }

  static ServerReply reply(
      int status, Optional<String> signature, boolean notRun, boolean misdirected) {
    return new ServerReply(
        status,
        true,
        signature,
        notRun,
        misdirected,
        Optional.of(new LoadReport(0, 0, 2, LoadReport.USUAL_WORK_FACTOR)),
        ImmutableList.of(),
        Payload.of(new byte[32]));
  }

  ForwardedAnswer.Merged merged(int index) {
    return (ForwardedAnswer.Merged) outcomes.get(index).get();
  }

  ServerReply passedOn(int index) {
    return ((ForwardedAnswer.FromServer) outcomes.get(index).get()).reply();
  }

  QueryError error(int index) {
    return outcomes.get(index).getLeft();
  }

  @Override
  public void send(ServerAttempt attempt) {
    sent.add(attempt);
    sentAtNanos.add(clock.nanoTime());
    onSent.accept(attempt);
  }

  @Override
  public boolean cancel(ServerAttempt attempt) {
    cancelled.add(attempt);
    return true;
  }
}

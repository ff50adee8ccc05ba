package io.arrowarch.core.tenant;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerGroup;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps each tenant within its limit over all routers. While a tenant is far from its limit, its
 * requests are admitted at once and reported to the router that counts them. Near the limit, this
 * router asks the counting router before it admits a request. How late reports may be: {@code
 * docs/design/tenant-limits.md}.
 *
 * <p>Load patterns that it is built for:
 *
 * <ul>
 *   <li>Many tenants, each with one request in many seconds at a router. Fixed shares per router
 *       would refuse requests that are within the limit, and asking for each request would cost a
 *       search a tenth of its latency objective.
 *   <li>One tenant far beyond its limit, whose callers retry at once. They are refused without
 *       asking the counting router again.
 * </ul>
 */
public final class TenantLimiter {
  /** Reports are batched for this long; the tolerance covers the requests that run meanwhile. */
  private static final Duration REPORT_DELAY = Duration.ofMillis(50);

  /** If a counting router sends no verdict within this time, another is asked. */
  private static final Duration VERDICT_TIMEOUT = Duration.ofMillis(150);

  /** Requests of a tenant that may run here before a counting router has acknowledged them. */
  private static final int MAXIMUM_UNACKNOWLEDGED = 3;

  /** Counting routers that are asked for one request before this router decides by itself. */
  private static final int ROUTERS_TO_ASK = 2;

  /** The retry delay is lengthened by a random part up to this, so that retries spread out. */
  private static final double RETRY_SPREAD = 0.25;

  private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(50);

  /**
   * Message numbers start at a random value below this, so that a verdict on a message of an
   * earlier incarnation of this router matches none of this one.
   */
  private static final long HIGHEST_FIRST_NUMBER = 1L << 40;

  /**
   * The incarnation that this router gives in reports to itself. It can be constant because the
   * router's counts are lost when it stops.
   */
  private static final long OWN_INCARNATION = 0;

  private final String ownId;
  private final String ownZone;
  private final PeerGroup peers;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final RandomGenerator random;
  private final EventLog events;
  private final Supplier<Tenants> tenants;
  private final CountingRouters routers;
  private final TenantCounter counter;
  private final Map<String, TenantUsage> usages = new HashMap<>();
  private final FallbackLimiter fallbackLimiter;
  private final Set<String> unreported = new LinkedHashSet<>();
  private final Map<Long, Message> unanswered = new HashMap<>();
  private boolean reportScheduled;
  private long nextNumber;
  private long refused;

  /** A request that may be waiting for a verdict. */
  public interface PendingDecision {
    /** Drops the verdict, because the caller has gone. */
    void cancel();
  }

  private static final PendingDecision DECIDED = () -> {};

  /** A message to a counting router that has not answered it yet. */
  private record Message(
      CountingRouters.Candidate to, ImmutableList<PeerBody.Use> uses, Optional<Question> asks) {}

  /** A request that a counting router is asked about. */
  private static final class Question implements PendingDecision {
    private final Tenant tenant;
    private final Consumer<LimitDecision> sink;
    private int routersAsked;
    private boolean ended;

    Question(Tenant tenant, Consumer<LimitDecision> sink) {
      this.tenant = tenant;
      this.sink = sink;
    }

    @Override
    public void cancel() {
      ended = true;
    }
  }

  /**
   * Creates a limiter.
   *
   * @param tenants returns the tenants of the configuration in force
   */
  public TenantLimiter(
      String ownId,
      String ownZone,
      LimitRules rules,
      PeerGroup peers,
      Supplier<Tenants> tenants,
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      EventLog events) {
    this.ownId = ownId;
    this.ownZone = ownZone;
    this.peers = peers;
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.events = events;
    this.tenants = tenants;
    this.fallbackLimiter = new FallbackLimiter(rules);
    this.nextNumber = random.nextLong(HIGHEST_FIRST_NUMBER);
    this.routers = new CountingRouters(ownId, peers, clock);
    this.counter =
        new TenantCounter(rules, ownId, ownZone, routers, peers, this::limitOf, clock, events);
  }

  /** Returns how many requests this router refused since its start. */
  public long refused() {
    return refused;
  }

  /** Another configuration is in force: removes the state of tenants that have no limit in it. */
  public void onReconfigured() {
    usages.keySet().removeIf(name -> limitOf(name).isEmpty());
    fallbackLimiter.retain(name -> limitOf(name).isPresent());
    counter.forgetUnlimited();
  }

  /**
   * Decides whether a request may run, at once or after asking a counting router.
   *
   * @param sink receives the decision once, perhaps before this method returns; not called after a
   *     cancellation
   */
  public PendingDecision acquire(Tenant tenant, Consumer<LimitDecision> sink) {
    if (tenant.limit().isEmpty()) {
      sink.accept(new LimitDecision.Allowed());
      return DECIDED;
    }
    long nowNanos = clock.nanoTime();
    TenantUsage usage = usageOf(tenant.name(), nowNanos);
    if (usage.refusedNanos(nowNanos) > 0) {
      refuse(sink, Duration.ofNanos(usage.refusedNanos(nowNanos)), ownId);
      return DECIDED;
    }
    if (!usage.mustAsk(nowNanos) && usage.unacknowledged() < MAXIMUM_UNACKNOWLEDGED) {
      admit(tenant.name(), sink);
      return DECIDED;
    }
    Question question = new Question(tenant, sink);
    ask(question);
    return question;
  }

  /** Refunds a request that was allowed but has not run and will not run. */
  public void refund(Tenant tenant) {
    if (tenant.limit().isPresent()) {
      usageOf(tenant.name(), clock.nanoTime()).onRefunded();
      reportLater(tenant.name());
    }
  }

  /** Handles a message of another router about tenants. */
  public void onMessage(PeerMessage message) {
    MemberRecord sender = message.sender();
    PeerBody body = message.body();
    if (body instanceof PeerBody.TenantUse use) {
      peers.send(sender.address(), counter.onUse(sender.id(), sender.incarnation(), use));
    } else if (body instanceof PeerBody.TenantVerdict verdict) {
      onVerdict(verdict, sender.id());
    } else if (body instanceof PeerBody.TenantNotice notice) {
      onNotice(notice);
    }
  }

  private Optional<TenantLimit> limitOf(String name) {
    return tenants.get().find(name).flatMap(Tenant::limit);
  }

  private TenantUsage usageOf(String tenant, long nowNanos) {
    return usages.computeIfAbsent(tenant, name -> new TenantUsage(nowNanos));
  }

  private void admit(String tenant, Consumer<LimitDecision> sink) {
    usageOf(tenant, clock.nanoTime()).onAdmitted();
    reportLater(tenant);
    sink.accept(new LimitDecision.Allowed());
  }

  private void refuse(Consumer<LimitDecision> sink, Duration retryAfter, String by) {
    refused++;
    double spread = 1 + RETRY_SPREAD * random.nextDouble();
    long nanos = Math.max(MINIMUM_RETRY_AFTER.toNanos(), retryAfter.toNanos());
    sink.accept(new LimitDecision.Refused(Duration.ofNanos((long) (spread * nanos)), by));
  }

  private void ask(Question question) {
    String tenant = question.tenant.name();
    CountingRouters.Candidate to = routers.routerFor(tenant);
    question.routersAsked++;
    send(to, ImmutableList.of(useOf(tenant)), Optional.of(question));
  }

  private PeerBody.Use useOf(String tenant) {
    TenantUsage usage = usageOf(tenant, clock.nanoTime());
    return new PeerBody.Use(tenant, usage.total(), usage.unacknowledged());
  }

  private void reportLater(String tenant) {
    unreported.add(tenant);
    if (!reportScheduled) {
      reportScheduled = true;
      timers.schedule(clock.nanoTime() + REPORT_DELAY.toNanos(), this::report);
    }
  }

  private void report() {
    reportScheduled = false;
    Map<CountingRouters.Candidate, List<PeerBody.Use>> byRouter = new LinkedHashMap<>();
    for (String tenant : unreported) {
      byRouter
          .computeIfAbsent(routers.routerFor(tenant), to -> new ArrayList<>())
          .add(useOf(tenant));
    }
    unreported.clear();
    byRouter.forEach((to, uses) -> send(to, ImmutableList.copyOf(uses), Optional.empty()));
  }

  private void send(
      CountingRouters.Candidate to, ImmutableList<PeerBody.Use> uses, Optional<Question> asks) {
    long number = nextNumber++;
    PeerBody.TenantUse message =
        new PeerBody.TenantUse(
            number, uses, asks.map(question -> question.tenant.name()).orElse(""));
    unanswered.put(number, new Message(to, uses, asks));
    if (to.address().isEmpty()) {
      onVerdict(counter.onUse(ownId, OWN_INCARNATION, message), ownId);
      return;
    }
    timers.schedule(clock.nanoTime() + VERDICT_TIMEOUT.toNanos(), () -> onVerdictTimeout(number));
    peers.send(to.address().get(), message);
  }

  private void onVerdict(PeerBody.TenantVerdict verdict, String by) {
    Message message = unanswered.get(verdict.number());
    if (message == null || !message.to().id().equals(by)) {
      return;
    }
    unanswered.remove(verdict.number());
    long nowNanos = clock.nanoTime();
    for (PeerBody.Use use : message.uses()) {
      usageOf(use.tenant(), nowNanos).onAcknowledged(use.total());
    }
    applyLimits(verdict.limits());
    message.asks().ifPresent(question -> onDecided(question, verdict, by));
  }

  private void onDecided(Question question, PeerBody.TenantVerdict verdict, String by) {
    if (verdict.granted()) {
      if (!question.ended) {
        question.ended = true;
        admit(question.tenant.name(), question.sink);
      } else {
        // Counted there but not used: the next report, with an unchanged total, corrects it.
        reportLater(question.tenant.name());
      }
      return;
    }
    long nowNanos = clock.nanoTime();
    usageOf(question.tenant.name(), nowNanos)
        .onRefused(Duration.ofMillis(verdict.refusedMillis()), nowNanos);
    if (!question.ended) {
      question.ended = true;
      refuse(question.sink, Duration.ofMillis(verdict.retryAfterMillis()), by);
    }
  }

  private void onVerdictTimeout(long number) {
    Message message = unanswered.remove(number);
    if (message == null) {
      return;
    }
    routers.onFailed(message.to().id());
    events.log(new RouterEvent.TenantChanged("", "no verdict", message.to().id(), 0));
    message.uses().forEach(use -> reportLater(use.tenant()));
    message.asks().filter(question -> !question.ended).ifPresent(this::askNextOrDecideLocally);
  }

  private void askNextOrDecideLocally(Question question) {
    if (question.routersAsked < ROUTERS_TO_ASK) {
      ask(question);
      return;
    }
    question.ended = true;
    decideLocally(question);
  }

  private void decideLocally(Question question) {
    Tenant tenant = question.tenant;
    long refusedNanos =
        fallbackLimiter.tryAcquire(
            tenant.name(), tenant.limit().orElseThrow(), routers.ownShare(), clock.nanoTime());
    if (refusedNanos == 0) {
      admit(tenant.name(), question.sink);
    } else {
      refuse(question.sink, Duration.ofNanos(refusedNanos), ownId);
    }
  }

  private void onNotice(PeerBody.TenantNotice notice) {
    applyLimits(notice.limits());
    if (notice.passOn()) {
      PeerBody.TenantNotice passed = new PeerBody.TenantNotice(notice.limits(), false);
      for (LiveRouter router : peers.liveRouters()) {
        if (router.zone().equals(ownZone)) {
          peers.send(router.address(), passed);
        }
      }
    }
  }

  private void applyLimits(List<PeerBody.Limited> limits) {
    long nowNanos = clock.nanoTime();
    for (PeerBody.Limited limited : limits) {
      if (limitOf(limited.tenant()).isPresent()) {
        usageOf(limited.tenant(), nowNanos)
            .onNearLimit(Duration.ofMillis(limited.askMillis()), nowNanos);
      }
    }
  }
}

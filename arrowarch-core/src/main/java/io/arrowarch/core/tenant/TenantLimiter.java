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
 * Keeps each tenant within its limit over all routers. A request of a tenant that is far from it is
 * admitted at once and told to the router that counts the tenant; near the limit each is asked for
 * there. Limits of lateness: {@code docs/design/tenant-limits.md}.
 *
 * <p>Load patterns: many tenants whose requests come to one router once in many seconds (shares for
 * each router would refuse what is allowed, a question for each would cost a search a tenth of its
 * objective); one tenant far beyond its limit with callers that repeat at once (refused from
 * memory).
 */
public final class TenantLimiter {
  /** News of use is gathered for this long; the tolerance pays for what runs meanwhile. */
  private static final Duration REPORT_DELAY = Duration.ofMillis(50);

  /** A counting router that gives no verdict within this is left for another. */
  private static final Duration VERDICT_TIMEOUT = Duration.ofMillis(150);

  /** Requests of a tenant that run here while no counting router acknowledges any. */
  private static final int MOST_UNACKNOWLEDGED = 3;

  /** Counting routers that are asked for one request before this router decides alone. */
  private static final int ROUTERS_TO_ASK = 2;

  /** A refused caller comes back up to this part later, so that not all come at once. */
  private static final double RETRY_SPREAD = 0.25;

  private static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(50);

  /** Messages are numbered from anywhere below this, so that no verdict is for another life's. */
  private static final long HIGHEST_FIRST_NUMBER = 1L << 40;

  /** What this router counts of itself goes with it, so that no two need be told apart. */
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
  private final OwnParts ownParts;
  private final Set<String> untold = new LinkedHashSet<>();
  private final Map<Long, Message> unanswered = new HashMap<>();
  private boolean reportScheduled;
  private long nextNumber;
  private long refused;

  /** A request that waits for a verdict. */
  public interface Asked {
    /** Its caller has gone: nobody wants the verdict any more. */
    void cancel();
  }

  private static final Asked NOTHING = () -> {};

  /** A message to a counting router that has not been answered. */
  private record Message(
      CountingRouters.Candidate to, ImmutableList<PeerBody.Use> uses, Optional<Question> asks) {}

  /** One request that is asked for. */
  private static final class Question implements Asked {
    private final Tenant tenant;
    private final Consumer<LimitDecision> sink;
    private int asked;
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
   * @param tenants of the configuration in force
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
    this.ownParts = new OwnParts(rules);
    this.nextNumber = random.nextLong(HIGHEST_FIRST_NUMBER);
    this.routers = new CountingRouters(ownId, peers, clock);
    this.counter =
        new TenantCounter(rules, ownId, ownZone, routers, peers, this::limitOf, clock, events);
  }

  /** Requests that were refused here since the start. */
  public long refused() {
    return refused;
  }

  /** Another configuration is in force: tenants that have gone are forgotten. */
  public void onReconfigured() {
    usages.keySet().removeIf(name -> limitOf(name).isEmpty());
    ownParts.retain(name -> limitOf(name).isPresent());
    counter.forgetUnlimited();
  }

  /**
   * Asks whether a request may run.
   *
   * @param sink told once, perhaps before this method returns, unless the question is cancelled
   */
  public Asked acquire(Tenant tenant, Consumer<LimitDecision> sink) {
    if (tenant.limit().isEmpty()) {
      sink.accept(new LimitDecision.Allowed());
      return NOTHING;
    }
    long nowNanos = clock.nanoTime();
    TenantUsage usage = usageOf(tenant.name(), nowNanos);
    if (usage.refusedNanos(nowNanos) > 0) {
      refuse(sink, Duration.ofNanos(usage.refusedNanos(nowNanos)), ownId);
      return NOTHING;
    }
    if (!usage.mustAsk(nowNanos) && usage.unacknowledged() < MOST_UNACKNOWLEDGED) {
      admit(tenant.name(), sink);
      return NOTHING;
    }
    Question question = new Question(tenant, sink);
    ask(question);
    return question;
  }

  /** A request that was allowed has not run and will not: its unit is given back. */
  public void giveBack(Tenant tenant) {
    if (tenant.limit().isPresent()) {
      usageOf(tenant.name(), clock.nanoTime()).onReturned();
      tellLater(tenant.name());
    }
  }

  /** Takes a message of another router about tenants. */
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
    tellLater(tenant);
    sink.accept(new LimitDecision.Allowed());
  }

  private void refuse(Consumer<LimitDecision> sink, Duration retryAfter, String by) {
    refused++;
    double spread = 1 + RETRY_SPREAD * random.nextDouble();
    long nanos = Math.max(SHORTEST_RETRY_AFTER.toNanos(), retryAfter.toNanos());
    sink.accept(new LimitDecision.Refused(Duration.ofNanos((long) (spread * nanos)), by));
  }

  private void ask(Question question) {
    String tenant = question.tenant.name();
    CountingRouters.Candidate to = routers.of(tenant);
    question.asked++;
    send(to, ImmutableList.of(useOf(tenant)), Optional.of(question));
  }

  private PeerBody.Use useOf(String tenant) {
    TenantUsage usage = usageOf(tenant, clock.nanoTime());
    return new PeerBody.Use(tenant, usage.total(), usage.unacknowledged());
  }

  private void tellLater(String tenant) {
    untold.add(tenant);
    if (!reportScheduled) {
      reportScheduled = true;
      timers.schedule(clock.nanoTime() + REPORT_DELAY.toNanos(), this::report);
    }
  }

  private void report() {
    reportScheduled = false;
    Map<CountingRouters.Candidate, List<PeerBody.Use>> byRouter = new LinkedHashMap<>();
    for (String tenant : untold) {
      byRouter.computeIfAbsent(routers.of(tenant), to -> new ArrayList<>()).add(useOf(tenant));
    }
    untold.clear();
    byRouter.forEach((to, uses) -> send(to, ImmutableList.copyOf(uses), Optional.empty()));
  }

  private void send(
      CountingRouters.Candidate to, ImmutableList<PeerBody.Use> uses, Optional<Question> asks) {
    long number = nextNumber++;
    PeerBody.TenantUse message =
        new PeerBody.TenantUse(number, uses, asks.map(asked -> asked.tenant.name()).orElse(""));
    unanswered.put(number, new Message(to, uses, asks));
    if (to.address().isEmpty()) {
      onVerdict(counter.onUse(ownId, OWN_INCARNATION, message), ownId);
      return;
    }
    timers.schedule(clock.nanoTime() + VERDICT_TIMEOUT.toNanos(), () -> onSilent(number));
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
    takeLimits(verdict.limits());
    message.asks().ifPresent(question -> onDecided(question, verdict, by));
  }

  private void onDecided(Question question, PeerBody.TenantVerdict verdict, String by) {
    if (verdict.granted()) {
      if (!question.ended) {
        question.ended = true;
        admit(question.tenant.name(), question.sink);
      } else {
        // Counted there and not used: the total that is told next says so.
        tellLater(question.tenant.name());
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

  private void onSilent(long number) {
    Message message = unanswered.remove(number);
    if (message == null) {
      return;
    }
    routers.onFailed(message.to().id());
    events.log(new RouterEvent.TenantChanged("", "no verdict", message.to().id(), 0));
    message.uses().forEach(use -> tellLater(use.tenant()));
    message.asks().filter(question -> !question.ended).ifPresent(this::askOnOrDecideAlone);
  }

  private void askOnOrDecideAlone(Question question) {
    if (question.asked < ROUTERS_TO_ASK) {
      ask(question);
      return;
    }
    question.ended = true;
    decideAlone(question);
  }

  private void decideAlone(Question question) {
    Tenant tenant = question.tenant;
    long refusedNanos =
        ownParts.refusedNanos(
            tenant.name(), tenant.limit().orElseThrow(), routers.ownShare(), clock.nanoTime());
    if (refusedNanos == 0) {
      admit(tenant.name(), question.sink);
    } else {
      refuse(question.sink, Duration.ofNanos(refusedNanos), ownId);
    }
  }

  private void onNotice(PeerBody.TenantNotice notice) {
    takeLimits(notice.limits());
    if (notice.passOn()) {
      PeerBody.TenantNotice passed = new PeerBody.TenantNotice(notice.limits(), false);
      for (LiveRouter router : peers.liveRouters()) {
        if (router.zone().equals(ownZone)) {
          peers.send(router.address(), passed);
        }
      }
    }
  }

  private void takeLimits(List<PeerBody.Limited> limits) {
    long nowNanos = clock.nanoTime();
    for (PeerBody.Limited limited : limits) {
      if (limitOf(limited.tenant()).isPresent()) {
        usageOf(limited.tenant(), nowNanos)
            .onNearLimit(Duration.ofMillis(limited.askMillis()), nowNanos);
      }
    }
  }
}

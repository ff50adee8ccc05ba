package io.arrowarch.core.tenant;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerGroup;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * One router whose tenant is counted by another router, which answers only when the test says so.
 * The limiter must not take a verdict that answers another message, and must decide when no verdict
 * arrives.
 */
public final class TenantLimiterMessagesTest implements PeerGroup {
  private static final String COUNTING = "counting";
  private static final TenantLimit LIMIT = new TenantLimit(1, 1);
  private static final LimitRules RULES = new LimitRules(Duration.ofSeconds(5), 0.25, 20);
  private static final Duration ASK_DURATION = Duration.ofMinutes(1);

  private FakeClock clock;
  private TimerQueue timers;
  private List<PeerBody> sent;
  private List<LimitDecision> decisions;
  private Tenant tenant;
  private TenantLimiter limiter;

  @BeforeMethod
  public void create() {
    clock = new FakeClock();
    timers = new TimerQueue();
    sent = new ArrayList<>();
    decisions = new ArrayList<>();
    for (int number = 0; sent.isEmpty(); number++) {
      tenant = tenant("t-" + number, LIMIT);
      limiter = createLimiter(number);
      requireAsking();
      limiter.acquire(tenant, decision -> {}).cancel();
    }
    sent.clear();
  }

  @Test
  public void aVerdictFromARouterThatWasNotAskedIsIgnored() {
    ask();
    PeerBody.TenantVerdict granted = grant(question().number());
    limiter.onMessage(from("not-asked", granted));
    assertThat(decisions).isEmpty();
    limiter.onMessage(from(COUNTING, granted));
    assertThat(decisions).containsExactly(new LimitDecision.Allowed());
  }

  @Test
  public void withoutAVerdictTheRouterDecidesByItself() {
    ask();
    advance(Duration.ofMillis(400));
    assertThat(decisions).hasSize(1);
  }

  @Test
  public void incarnationsOfARouterNumberTheirMessagesDifferently() {
    long first = firstNumber(1);
    assertThat(firstNumber(2)).isNotEqualTo(first);
  }

  private long firstNumber(int seed) {
    limiter = createLimiter(seed);
    requireAsking();
    ask();
    return question().number();
  }

  private TenantLimiter createLimiter(int seed) {
    return new TenantLimiter(
        "own",
        "zone-a",
        RULES,
        this,
        () -> new Tenants(ImmutableList.of(tenant)),
        clock,
        timers,
        new Random(seed),
        EventLog.NONE);
  }

  private void ask() {
    limiter.acquire(tenant, decisions::add);
  }

  private void requireAsking() {
    PeerBody.Limited limited = new PeerBody.Limited(tenant.name(), ASK_DURATION.toMillis());
    limiter.onMessage(from(COUNTING, new PeerBody.TenantNotice(List.of(limited), false)));
  }

  private PeerBody.TenantUse question() {
    return (PeerBody.TenantUse) sent.get(sent.size() - 1);
  }

  private static PeerBody.TenantVerdict grant(long number) {
    return new PeerBody.TenantVerdict(number, true, 0, 0, List.of());
  }

  private static PeerMessage from(String router, PeerBody body) {
    return new PeerMessage(
        new MemberRecord(router, "zone-a", router, 1, 1, 0, MemberRecord.State.ALIVE), body);
  }

  private void advance(Duration length) {
    for (long millis = 0; millis < length.toMillis(); millis++) {
      clock.advance(Duration.ofMillis(1));
      timers.runDue(clock.nanoTime());
    }
  }

  private static Tenant tenant(String name, TenantLimit limit) {
    return new Tenant(name, ImmutableSet.of(), Optional.empty(), Optional.of(limit));
  }

  private final ImmutableList<LiveRouter> liveRouters =
      ImmutableList.of(new LiveRouter(COUNTING, 1, "zone-a", COUNTING, 1));

  @Override
  public ImmutableList<LiveRouter> liveRouters() {
    return liveRouters;
  }

  @Override
  public void send(String address, PeerBody body) {
    sent.add(body);
  }
}

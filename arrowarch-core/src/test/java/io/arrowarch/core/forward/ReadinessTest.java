package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.feed.FeedAnswer;
import io.arrowarch.core.feed.FeedBounds;
import io.arrowarch.core.feed.FeedEntry;
import io.arrowarch.core.feed.FeedItem;
import io.arrowarch.core.feed.FeedTransport;
import io.arrowarch.core.intake.NoArrivals;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.route.CallerLimits;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.tenant.Credential;
import io.arrowarch.core.tenant.Tenant;
import io.arrowarch.core.tenant.Tenants;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Readiness of a router whose view is too old to accept API keys, which it is after three seconds.
 * It stays ready while it hears other routers, since their views are no fresher.
 */
public final class ReadinessTest {
  private static final LiveRouter OTHER = new LiveRouter("other", 1, "zone-a", "10.0.0.2:1", 1);

  private FakeClock clock;
  private ImmutableList<LiveRouter> liveRouters;
  private ForwardingRouter router;

  @BeforeMethod
  public void start() {
    clock = new FakeClock();
    liveRouters = ImmutableList.of(OTHER);
    router =
        new ForwardingRouter(
            options(),
            clock,
            new TimerQueue(),
            new NoArrivals(),
            new Random(1),
            new ForwardFixture(),
            new SilentStore(),
            EventLog.NONE,
            new Group());
    router.start();
    router.follower().onAnswer(1, listing());
    assertThat(router.isReady()).isTrue();
    clock.advance(Duration.ofSeconds(3));
  }

  @Test
  public void staysReadyWhileItHearsOtherRouters() {
    assertThat(router.coordinator().refusesApiKeys()).isTrue();
    assertThat(router.isReady()).isTrue();
  }

  @Test
  public void isNotReadyWhenItHearsNoOtherRouter() {
    liveRouters = ImmutableList.of();
    assertThat(router.isReady()).isFalse();
    router
        .follower()
        .view()
        .onConfirmedByPeer(new StoreRevision(0, 7), clock.nanoTime(), Duration.ZERO);
    assertThat(router.isReady()).isTrue();
  }

  private static ForwardOptions options() {
    Duration bound = Duration.ofSeconds(3);
    return new ForwardOptions(
        "router",
        "zone-a",
        1,
        10,
        new ExtraAttemptRules(0, 0, Duration.ofSeconds(10)),
        bound,
        new FeedBounds(bound, bound, bound, true),
        ColdServerRules.EXACT,
        ImmutableMap.of(),
        ForwardFixture.RULES,
        ImmutableSet.of());
  }

  private static FeedAnswer listing() {
    Tenant tenant =
        new Tenant(
            "t", ImmutableSet.of(Credential.ofKey("key")), Optional.empty(), Optional.empty());
    RoutingConfiguration configuration =
        new RoutingConfiguration(
            1,
            ImmutableList.of(),
            ImmutableMap.of(),
            CallerLimits.DEFAULT,
            new Tenants(ImmutableList.of(tenant)));
    FeedEntry entry = new FeedEntry.Configuration(configuration);
    FeedItem item = new FeedItem("configuration", new StoreRevision(0, 7), Optional.of(entry), "");
    return new FeedAnswer(ImmutableList.of(item), new StoreRevision(0, 7), false);
  }

  private final class Group implements RouterGroup {
    @Override
    public boolean hasOthers() {
      return true;
    }

    @Override
    public int count() {
      return 1 + liveRouters.size();
    }

    @Override
    public ImmutableList<LiveRouter> liveRouters() {
      return liveRouters;
    }
  }

  private static final class SilentStore implements FeedTransport {
    @Override
    public void list(long call, Optional<String> afterKey, Duration timeout) {}

    @Override
    public void watch(long call, StoreRevision after, Duration wait, Duration timeout) {}

    @Override
    public void watchPeer(
        long call, String address, StoreRevision after, Duration wait, Duration timeout) {}

    @Override
    public void listFromPeer(String address) {}
  }
}

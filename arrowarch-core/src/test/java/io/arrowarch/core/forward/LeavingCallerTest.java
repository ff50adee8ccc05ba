package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.FakeClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.testng.annotations.Test;

/**
 * Callers that leave while their request waits. Guards against a request that is sent to a server
 * by what it waited for, after its caller has left.
 */
public final class LeavingCallerTest {
  private static final Duration AGE = Duration.ofSeconds(11);
  private static final int SLOW_START_LIMIT = 3;

  private final Queue<Runnable> polls = new ArrayDeque<>();

  /** It waits for the first view of the store. */
  @Test
  public void aHeldRequestIsNotSentWhenTheStoreIsRead() {
    ForwardFixture router = new ForwardFixture(4, Duration.ZERO);
    ForwardHandle handle = router.submit();
    handle.cancel();
    route(router);
    router.coordinator.onListed();
    router.advance(Duration.ofSeconds(3));

    assertThat(router.sent).isEmpty();
    assertThat(router.outcomes).isEmpty();
  }

  /** It was held, and waits for the next poll of the sockets. */
  @Test
  public void aHeldRequestIsCancelledAfterItWasSubmitted() {
    ForwardFixture router = lateRouter();
    ForwardHandle handle = router.submit();
    route(router);
    router.coordinator.onListed();
    handle.cancel();
    runPolls();

    assertThat(router.sent).isEmpty();
  }

  /** It waits for the end of another search, while the process has just started. */
  @Test
  public void aSearchThatWaitsForAdmissionIsNotSent() {
    ForwardFixture router = new ForwardFixture(4, Duration.ZERO);
    route(router);
    router.coordinator.onListed();
    for (int search = 0; search < SLOW_START_LIMIT; search++) {
      router.submit();
    }
    int before = router.sent.size();
    router.submit().cancel();
    ImmutableList.copyOf(router.sent).forEach(router::answer);

    assertThat(router.sent).hasSize(before);
  }

  /** It waits for a connection to a server. */
  @Test
  public void aPartThatWaitsForAConnectionIsNotSent() {
    ForwardFixture router = new ForwardFixture();
    router.route(true, "s");
    router.server("a", "s");
    while (router.sent.size() == router.coordinator.inProgress()) {
      router.submit();
    }
    int before = router.sent.size();
    ForwardHandle waiting = router.submit();
    waiting.cancel();
    // The one that waited first is sent, and no other.
    router.answer(router.attempt(0));
    router.answer(router.attempt(1));

    assertThat(router.sent).hasSize(before + 1);
  }

  /** The router that it was delegated to declines it after the caller has left. */
  @Test
  public void aDeclinedGroupIsNotRunAtHomeForACallerWhoHasLeft() {
    RouterPair routers = new RouterPair();
    ForwardHandle handle = routers.near.submit();
    handle.cancel();
    routers.near.coordinator.onDelegateReply(1, new DelegateReply.Declined("busy"));

    assertThat(routers.near.sent).isEmpty();
    assertThat(routers.cancelled).containsExactly(1L);
  }

  /** A router that was late handed a search on before it read the close behind it. */
  @Test
  public void aSearchIsNotHandedOnForACallerWhoHasLeft() {
    polls.clear();
    RouterPair others = new RouterPair();
    ForwardFixture router =
        new ForwardFixture(
            others.clock, "router-c", "zone-a", others, 100, polls::add, attempt -> {});
    router.route(true, RouterPair.SHARDS.toArray(new String[0]));
    router.advance(AGE);
    router.submit().cancel();
    runPolls();
    assertThat(others.cancelled).isEmpty();
    router.submit();
    runPolls();

    assertThat(others.underWay).hasSize(1);
  }

  /** A canary goes on for a while without its caller, but not one that has not been sent. */
  @Test
  public void aCanaryThatHasNotBeenSentIsCancelledAtOnce() {
    ForwardFixture router = lateRouter();
    route(router);
    router.advance(AGE);
    ForwardHandle unused = router.submit("first", "/path", ForwardFixture.TIMEOUT);
    runPolls();
    for (int sent = 0; sent < router.sent.size(); sent++) {
      router.fail(router.attempt(sent), ServerFailure.BROKEN);
      runPolls();
    }
    int before = router.sent.size();
    router.submit("second", "/path", ForwardFixture.TIMEOUT).cancel();
    runPolls();

    assertThat(router.sent).hasSize(before);
  }

  private ForwardFixture lateRouter() {
    polls.clear();
    return new ForwardFixture(
        new FakeClock(),
        "router-a",
        "zone-a",
        RouterGroup.ofCount(4),
        100,
        polls::add,
        attempt -> {});
  }

  private void runPolls() {
    while (!polls.isEmpty()) {
      polls.remove().run();
    }
  }

  private static void route(ForwardFixture router) {
    router.route(true, "s1", "s2", "s3", "s4");
    for (int shard = 1; shard <= 4; shard++) {
      for (String copy : new String[] {"a", "b", "c"}) {
        router.server("s" + shard + copy, "s" + shard);
      }
    }
  }
}

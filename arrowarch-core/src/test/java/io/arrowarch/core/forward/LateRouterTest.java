package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.route.RouteTarget;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Callers that leave a router whose event loop is late. Guards against requests that reach servers
 * more than half a second after their caller has closed its connection.
 */
public final class LateRouterTest {
  private static final Duration LATEST = Duration.ofMillis(500);
  private static final Duration CALLER_STAYS = Duration.ofMillis(53);
  private static final Duration AGE = Duration.ofSeconds(11);
  private static final int SHARDS = 120;
  private static final int ROUTERS = 20;

  private FakeClock clock;
  private ForwardFixture router;
  private VirtualLoop loop;
  private Duration sendingTakes = Duration.ZERO;
  private Optional<ForwardHandle> handle = Optional.empty();
  private long startNanos;

  @BeforeMethod
  public void create() {
    clock = new FakeClock();
    sendingTakes = Duration.ZERO;
    handle = Optional.empty();
    router =
        new ForwardFixture(
            clock,
            "router-a",
            "zone-a",
            RouterGroup.ofCount(ROUTERS),
            100,
            task -> loop.afterArrivals(task),
            attempt -> clock.advance(sendingTakes));
    loop = new VirtualLoop(clock, router.timers);
    ImmutableList.Builder<String> shards = ImmutableList.builder();
    for (int i = 0; i < SHARDS; i++) {
      shards.add("shard-" + i);
      router.server("server-a-" + i, "shard-" + i);
      router.server("server-b-" + i, "shard-" + i);
    }
    router.route(true, new RouteTarget.AllShards(shards.build(), 4, 0.5));
    router.advance(AGE);
    startNanos = clock.nanoTime();
  }

  /** The close stood in the socket behind the request, and was read after all parts were sent. */
  @Test
  public void aSearchThatIsReadAfterItsCallerHasLeftReachesNoServer() {
    loop.arrive("other", startNanos, () -> clock.advance(Duration.ofMillis(600)));
    callerComesAndLeaves(Duration.ofMillis(1));
    run();

    assertThat(handle).isPresent();
    assertThat(router.sent).isEmpty();
  }

  /** All parts were sent in one turn of the loop, which took longer than the caller stayed. */
  @Test
  public void aSearchWhoseCallerLeavesWhileItsPartsAreSentIsNotSentOn() {
    sendingTakes = Duration.ofMillis(10);
    callerComesAndLeaves(Duration.ZERO);
    run();

    assertThat(router.sent).isNotEmpty();
    assertNothingIsSentLongAfterTheClose(Duration.ZERO);
    assertThat(router.cancelled).hasSameSizeAs(router.sent);
  }

  /** The router that took the search had closed the connection; the gatherer read that last. */
  @Test
  public void aDelegatedSearchThatIsReadAfterItsCancellationReachesNoServer() {
    loop.arrive("other", startNanos, () -> clock.advance(Duration.ofMillis(600)));
    loop.arrive(
        "peer",
        startNanos + 1,
        () ->
            handle =
                Optional.of(router.coordinator.submitDelegated(delegatedSearch(), reply -> {})));
    loop.arrive("peer", startNanos + CALLER_STAYS.toNanos(), () -> handle.get().cancel());
    run();

    assertThat(handle).isPresent();
    assertThat(router.sent).isEmpty();
  }

  /** Failures that were read before the close caused retries, each of which was sent at once. */
  @Test
  public void retriesAreNotSentForACallerWhoseCloseStandsBehindTheFailures() {
    loop.arrive("caller", startNanos, () -> handle = Optional.of(router.submit()));
    loop.runUntil(startNanos + Duration.ofMillis(20).toNanos());
    int first = router.sent.size();
    loop.arrive("other", clock.nanoTime(), () -> clock.advance(Duration.ofMillis(600)));
    for (ServerAttempt attempt : ImmutableList.copyOf(router.sent)) {
      loop.arrive(
          "server-" + attempt.number(),
          clock.nanoTime() + 1,
          () -> router.fail(attempt, ServerFailure.UNREACHABLE));
    }
    loop.arrive("caller", startNanos + CALLER_STAYS.toNanos(), () -> handle.get().cancel());
    run();

    assertThat(first).isEqualTo(SHARDS);
    assertThat(router.sent).hasSize(first);
  }

  /** Hedges were due while the loop was late, and were sent before the close was read. */
  @Test
  public void hedgesAreNotSentForACallerWhoseCloseWasNotReadYet() {
    callerComesAndLeaves(Duration.ZERO);
    loop.runUntil(startNanos + Duration.ofMillis(20).toNanos());
    router.sent.subList(0, SHARDS - 10).stream().toList().forEach(router::answer);
    loop.arrive("other", clock.nanoTime(), () -> clock.advance(Duration.ofMillis(150)));
    run();

    assertThat(router.sent).hasSize(SHARDS);
  }

  /** A request that waits behind others is refused when its time is over, not started late. */
  @Test
  public void aRequestWhoseTimeIsOverBeforeItsTurnReachesNoServer() {
    loop.arrive(
        "caller",
        startNanos,
        () -> {
          handle = Optional.of(router.submit());
          clock.advance(ForwardFixture.TIMEOUT);
        });
    run();

    assertThat(router.sent).isEmpty();
    assertThat(router.outcomes).hasSize(1);
    assertThat(router.error(0).executed()).isEqualTo(Executed.NO);
  }

  private void callerComesAndLeaves(Duration after) {
    loop.arrive(
        "caller", startNanos + after.toNanos(), () -> handle = Optional.of(router.submit()));
    loop.arrive(
        "caller", startNanos + after.plus(CALLER_STAYS).toNanos(), () -> handle.get().cancel());
  }

  private void run() {
    loop.runUntil(startNanos + Duration.ofSeconds(3).toNanos());
  }

  private void assertNothingIsSentLongAfterTheClose(Duration arrival) {
    long latest = startNanos + arrival.plus(CALLER_STAYS).plus(LATEST).toNanos();
    assertThat(router.sentAtNanos).allMatch(sentNanos -> sentNanos <= latest);
  }

  private DelegatedSearch delegatedSearch() {
    ImmutableList.Builder<String> shards = ImmutableList.builder();
    for (int i = 0; i < SHARDS; i++) {
      shards.add("shard-" + i);
    }
    return new DelegatedSearch(
        new ForwardedRequest(
            "request",
            Optional.of(ForwardFixture.TIMEOUT),
            "GET",
            "host",
            "/path",
            Caller.ANONYMOUS,
            ImmutableList.of(),
            Payload.EMPTY),
        1,
        new RouteTarget.AllShards(shards.build(), 4, 0.5),
        ForwardFixture.TIMEOUT,
        ForwardFixture.OBJECTIVE,
        false);
  }
}

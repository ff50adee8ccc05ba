package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.route.RouteTarget;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Requests that waited in their socket while the router was late. Guards against deadlines and
 * time-outs that count from when a request was read.
 */
public final class UnreadRequestTest {
  private static final Duration UNREAD = Duration.ofMillis(700);

  private ForwardFixture router;

  @BeforeMethod
  public void create() {
    router = new ForwardFixture();
    router.route(true, "s");
    router.server("a", "s");
    router.server("b", "s");
  }

  /** A server was given the whole time of a caller that had waited for most of it. */
  @Test
  public void aServerGetsNoMoreTimeThanTheCallerHas() {
    Duration timeLeft = Duration.ofSeconds(1);
    router.submitUnread(timeLeft, UNREAD);

    assertThat(timeUntil(router.last().deadlineNanos()))
        .isPositive()
        .isLessThanOrEqualTo(timeLeft.minus(UNREAD));
  }

  /** The time-out of the route was counted from when the request was read. */
  @Test
  public void theTimeOutOfARouteCountsFromTheArrival() {
    router.submitUnread(ForwardFixture.TIMEOUT.multipliedBy(2), UNREAD);
    router.advanceInSteps(ForwardFixture.TIMEOUT.minus(UNREAD).plusMillis(1));

    assertThat(router.outcomes).hasSize(1);
  }

  /** A request whose caller no longer waits was sent to a server. */
  @Test
  public void aRequestWhoseTimeIsOverIsRefusedAtOnce() {
    router.submitUnread(Duration.ofMillis(500), UNREAD);
    router.advance(Duration.ZERO);

    assertThat(router.sent).isEmpty();
    assertThat(router.error(0).executed()).isEqualTo(Executed.NO);
    assertThat(router.error(0).retryAfter()).isPresent();
  }

  /** A gatherer gave servers the time that the search had spent in its socket. */
  @Test
  public void aGathererDeductsTheTimeInItsSocket() {
    router.route(2, true, "s1", "s2");
    router.server("c", "s1");
    router.server("d", "s2");
    Duration timeLeft = Duration.ofSeconds(1);
    DelegatedSearch search =
        new DelegatedSearch(
            new ForwardedRequest(
                "request",
                Optional.of(timeLeft),
                "GET",
                "host",
                "/path",
                Caller.ANONYMOUS,
                ImmutableList.of(),
                Payload.EMPTY),
            2,
            new RouteTarget.AllShards(ImmutableList.of("s1", "s2"), 4, 0.5),
            timeLeft,
            ForwardFixture.OBJECTIVE,
            false);
    ForwardHandle unused =
        router.coordinator.submitDelegated(search.withUnread(UNREAD), reply -> {});

    assertThat(router.sent).hasSize(2);
    assertThat(timeUntil(router.last().deadlineNanos()))
        .isPositive()
        .isLessThanOrEqualTo(timeLeft.minus(UNREAD));
  }

  private Duration timeUntil(long nanos) {
    return Duration.ofNanos(nanos - router.clock.nanoTime());
  }
}

package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/** How much of the objective is reserved for late timers, so that a due answer is in time. */
public final class TimerLatenessTest {
  private static final Duration OBJECTIVE = Duration.ofMillis(100);

  @Test
  public void oneLateTimerMayBeChance() {
    TimerLateness lateness = new TimerLateness();
    lateness.record(Duration.ofMillis(9).toNanos());
    assertThat(lateness.reserveNanos(OBJECTIVE)).isZero();
    lateness.record(Duration.ofMillis(4).toNanos());
    assertThat(lateness.reserveNanos(OBJECTIVE)).isEqualTo(Duration.ofMillis(8).toNanos());
    lateness.record(Duration.ofMillis(40).toNanos());
    lateness.record(Duration.ofMillis(50).toNanos());
    assertThat(lateness.reserveNanos(OBJECTIVE)).isEqualTo(Duration.ofMillis(15).toNanos());
  }

  /**
   * A search lacks one of four parts when it is due. The request is read 16 ms after the caller
   * started to connect, 9 ms of which are network delay, and the answer takes 3 ms to the caller.
   */
  @Test
  public void dueAnswerReachesNewlyConnectedCallerInTime() {
    assertThat(reachesCallerAfter(Caller.ANONYMOUS)).isGreaterThan(ForwardFixture.OBJECTIVE);
    assertThat(reachesCallerAfter(new Caller(Optional.empty(), Optional.empty(), true)))
        .isLessThan(ForwardFixture.OBJECTIVE);
  }

  private static Duration reachesCallerAfter(Caller caller) {
    ForwardFixture router = new ForwardFixture();
    router.caller = caller;
    router.route(true, "s1", "s2", "s3", "s4");
    for (int shard = 1; shard <= 4; shard++) {
      router.server("s" + shard, "s" + shard);
    }
    // Network delay of the connection and the request, plus the delay until this router reads it.
    Duration unread = Duration.ofMillis(16);
    router.submit();
    for (int shard = 0; shard < 3; shard++) {
      router.answer(router.attempt(shard));
    }
    long startNanos = router.clock.nanoTime();
    while (router.outcomes.isEmpty()) {
      router.advance(Duration.ofMillis(1));
    }
    Duration held = Duration.ofNanos(router.clock.nanoTime() - startNanos);
    return unread.plus(held).plusMillis(3);
  }
}

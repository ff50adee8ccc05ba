package io.arrowarch.core.intake;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests that count as young although they waited while the loop was busy. */
public final class ArrivalTimesTest {
  private ArrivalTimes times;

  @BeforeMethod
  public void create() {
    times = new ArrivalTimes();
  }

  /** A loop that waits for events handles the first one at once. */
  @Test
  public void anEventThatWakesTheLoopHasNotWaited() {
    assertThat(times.longestWait(millis(7_000))).isZero();
    assertThat(times.onEvent(millis(7_000))).isTrue();
    assertThat(times.longestWait(millis(7_003))).isEqualTo(Duration.ofMillis(3));
  }

  /** The request came while the loop handled other events, and counted from when it was read. */
  @Test
  public void whatAPollFindsMayHaveArrivedDuringTheWholeTurnBefore() {
    assertThat(times.onEvent(millis(100))).isTrue();
    assertThat(times.onEvent(millis(500))).isFalse();
    assertThat(times.onPoll(millis(600))).isEqualTo(Duration.ofMillis(500));

    assertThat(times.longestWait(millis(601))).isEqualTo(Duration.ofMillis(501));
  }

  /** What arrived before the last poll but one was handled after it. */
  @Test
  public void aShortTurnEndsTheEffectOfALongOne() {
    assertThat(times.onEvent(millis(0))).isTrue();
    assertThat(times.onPoll(millis(800))).isEqualTo(Duration.ofMillis(800));
    assertThat(times.onEvent(millis(801))).isFalse();
    assertThat(times.onPolled()).isTrue();
    assertThat(times.onPoll(millis(805))).isEqualTo(Duration.ofMillis(5));

    assertThat(times.longestWait(millis(806))).isEqualTo(Duration.ofMillis(6));
    assertThat(times.longestWaitOnNewConnection(millis(806))).isEqualTo(Duration.ofMillis(806));
  }

  /** The time for which the loop had nothing to do is no wait of what comes next. */
  @Test
  public void aPollThatFindsNothingMakesTheLoopIdle() {
    assertThat(times.onEvent(millis(0))).isTrue();
    assertThat(times.onPoll(millis(10))).isEqualTo(Duration.ofMillis(10));
    assertThat(times.onPolled()).isFalse();

    assertThat(times.longestWait(millis(5_000))).isZero();
    assertThat(times.onEvent(millis(5_000))).isTrue();
  }

  private static long millis(long millis) {
    return Duration.ofMillis(millis).toNanos();
  }
}

package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests that are in progress when the process is about to end. */
public final class PlannedStopTest {
  private static final Duration REST = Duration.ofMillis(500);

  private ForwardFixture fixture;

  @BeforeMethod
  public void create() {
    fixture = new ForwardFixture();
    fixture.server("a", "s");
  }

  private long endNanos() {
    return fixture.clock.nanoTime() + REST.toNanos();
  }

  /** Submits requests until one has to wait for a connection. */
  private void fillConnections() {
    int before = -1;
    while (fixture.sent.size() > before) {
      before = fixture.sent.size();
      fixture.submit();
    }
  }

  /** A request that waits for a connection was lost with its connection when the process ended. */
  @Test
  public void requestThatWaitsForAConnectionIsRefusedAsNotRun() {
    fixture.route(false, "s");
    fillConnections();
    int waiting = fixture.coordinator.inProgress() - fixture.sent.size();
    fixture.coordinator.startNoneBeyond(endNanos());

    assertThat(waiting).isEqualTo(1);
    assertThat(fixture.outcomes).hasSize(1);
    assertThat(fixture.error(0).kind()).isEqualTo(ErrorKind.DRAINING);
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.NO);
    assertThat(fixture.error(0).retryAfter()).isPresent();
    assertThat(fixture.coordinator.inProgress()).isEqualTo(fixture.sent.size());
  }

  /** What ends before the process in any case is served on. */
  @Test
  public void waitingRequestWithAnEarlierDeadlineIsKept() {
    fixture.route(false, "s");
    fillConnections();
    int before = fixture.sent.size();
    ForwardHandle unused = fixture.submit(REST);
    fixture.coordinator.startNoneBeyond(endNanos());
    fixture.answer(fixture.attempt(0));

    assertThat(fixture.sent).hasSize(before + 1);
  }

  /** A request that comes late in a stop was cut when the process ended. */
  @Test
  public void requestThatMayOutlastTheProcessIsRefusedAsNotRun() {
    fixture.route(false, "s");
    fixture.coordinator.startNoneBeyond(endNanos());
    fixture.submit();
    fixture.submit(REST);

    assertThat(fixture.sent).hasSize(1);
    assertThat(fixture.outcomes).hasSize(1);
    assertThat(fixture.error(0).kind()).isEqualTo(ErrorKind.DRAINING);
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.NO);
  }

  /** A retry late in a stop is no better than a first attempt. */
  @Test
  public void requestThatAServerShedsIsNotSentAgain() {
    fixture.server("b", "s");
    fixture.route(false, "s");
    fixture.submit();
    fixture.coordinator.startNoneBeyond(endNanos());
    fixture.answer(fixture.attempt(0), ForwardFixture.shed());

    assertThat(fixture.sent).hasSize(1);
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.NO);
  }

  /** What was read in the last moment was passed on and then cut. */
  @Test
  public void requestAfterTheEndIsRefused() {
    fixture.route(true, "s");
    fixture.coordinator.endRequests();
    fixture.submit(Duration.ofMillis(30));

    assertThat(fixture.sent).isEmpty();
    assertThat(fixture.error(0).kind()).isEqualTo(ErrorKind.DRAINING);
  }

  /** A connection that closes without an answer tells its caller less than an error does. */
  @Test
  public void requestAtAServerIsAnsweredBeforeTheEnd() {
    fixture.route(false, "s");
    fixture.submit();
    fixture.coordinator.startNoneBeyond(endNanos());
    assertThat(fixture.outcomes).isEmpty();
    fixture.coordinator.endRequests();

    assertThat(fixture.error(0).executed()).isEqualTo(Executed.UNKNOWN);
    assertThat(fixture.coordinator.inProgress()).isZero();
  }

  @Test
  public void searchWithEnoughPartsIsAnsweredBeforeTheEnd() {
    fixture.server("b", "s1");
    fixture.server("c", "s2");
    fixture.route(true, "s1", "s2");
    fixture.submit();
    fixture.answer(fixture.attempt(0));
    fixture.coordinator.endRequests();

    assertThat(fixture.merged(0).missingParts()).isEqualTo(1);
  }

  /** Requests that wait must not be started by the connections that the end of others frees. */
  @Test
  public void endOfManyRequestsSendsNone() {
    fixture.route(false, "s");
    fillConnections();
    int before = fixture.sent.size();
    for (int i = 0; i < 30; i++) {
      fixture.submit();
    }
    fixture.coordinator.endRequests();

    assertThat(fixture.sent).hasSize(before);
    assertThat(fixture.outcomes).hasSize(before + 31);
    assertThat(fixture.coordinator.inProgress()).isZero();
  }
}

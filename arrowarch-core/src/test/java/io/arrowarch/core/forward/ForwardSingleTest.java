package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Requests that go to one server: retries, hedges, waiting for a connection, and that a request
 * that is not repeatable never runs twice.
 */
public final class ForwardSingleTest {
  private ForwardFixture fixture;

  @BeforeMethod
  public void create() {
    fixture = new ForwardFixture();
    fixture.server("a", "s");
    fixture.server("b", "s");
    fixture.server("c", "s");
    fixture.server("d", "s");
  }

  @Test
  public void theServersAnswerIsPassedOn() {
    fixture.route(true, "s");
    fixture.submit();
    ServerReply reply = ForwardFixture.good(fixture.attempt(0));
    fixture.answer(fixture.attempt(0), reply);

    assertThat(fixture.passedOn(0)).isSameAs(reply);
  }

  @Test
  public void aRepeatableRequestIsRetriedAfterABreak() {
    fixture.route(true, "s");
    fixture.submit();
    fixture.fail(fixture.attempt(0), ServerFailure.BROKEN);
    fixture.answer(fixture.attempt(1));

    assertThat(fixture.passedOn(0).status()).isEqualTo(200);
  }

  @Test
  public void anUnrepeatableRequestThatMayHaveRunIsNeverSentAgain() {
    fixture.route(false, "s");
    for (ServerFailure failure :
        new ServerFailure[] {ServerFailure.BROKEN, ServerFailure.GARBLED}) {
      int before = fixture.sent.size();
      fixture.submit();
      fixture.fail(fixture.last(), failure);
      assertThat(fixture.sent).hasSize(before + 1);
    }
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.UNKNOWN);
    assertThat(fixture.error(1).kind()).isEqualTo(ErrorKind.BACKEND_FAILED);
  }

  @Test
  public void anUnrepeatableRequestIsNeverHedged() {
    fixture.route(false, "s");
    fixture.submit();
    fixture.advanceInSteps(ForwardFixture.TIMEOUT.minusMillis(100));

    assertThat(fixture.sent).hasSize(1);
  }

  @Test
  public void anUnrepeatableRequestThatWasRefusedGoesToAnotherServer() {
    fixture.route(false, "s");
    fixture.submit();
    fixture.answer(fixture.attempt(0), ForwardFixture.shed());
    fixture.answer(fixture.attempt(1), ForwardFixture.misdirected());
    fixture.answer(fixture.attempt(2));

    assertThat(fixture.sent.stream().map(attempt -> attempt.server().id()).distinct()).hasSize(3);
    assertThat(fixture.passedOn(0).status()).isEqualTo(200);
  }

  @Test
  public void aRequestThatAllServersRefuseIsProvenNotRun() {
    fixture.route(false, "s");
    fixture.submit();
    for (int i = 0; i < fixture.sent.size(); i++) {
      fixture.answer(fixture.attempt(i), ForwardFixture.shed());
    }

    assertThat(fixture.error(0).executed()).isEqualTo(Executed.NO);
    assertThat(fixture.error(0).retryAfter()).isPresent();
  }

  @Test
  public void aServerErrorIsPassedOnWhenNoAttemptIsLeft() {
    fixture.route(true, "s");
    fixture.submit();
    fixture.answer(fixture.attempt(0), ForwardFixture.serverError());
    fixture.answer(fixture.attempt(1), ForwardFixture.serverError());

    assertThat(fixture.sent).hasSize(2);
    assertThat(fixture.passedOn(0).status()).isEqualTo(500);
  }

  @Test
  public void aReplacedServerGetsNoMoreAttempts() {
    fixture.route(true, "s");
    fixture.submit();
    String replaced = fixture.attempt(0).server().id();
    fixture.answer(fixture.attempt(0), ForwardFixture.misdirected());
    for (int i = 0; i < 20; i++) {
      fixture.submit();
    }

    assertThat(fixture.sent.stream().skip(1))
        .noneMatch(attempt -> attempt.server().id().equals(replaced));
  }

  @Test
  public void theAnswerToAHedgeCancelsTheOtherAttempt() {
    fixture.route(true, "s");
    fixture.submit();
    fixture.advanceInSteps(Duration.ofMillis(100));
    assertThat(fixture.sent).hasSize(2);
    fixture.answer(fixture.attempt(1));

    assertThat(fixture.cancelled).containsExactly(fixture.attempt(0));
  }

  @Test
  public void aRequestWaitsForAFreeConnection() {
    fixture = new ForwardFixture(36);
    fixture.server("a", "s");
    fixture.route(true, "s");
    fixture.submit();
    fixture.submit();
    assertThat(fixture.sent).hasSize(1);
    fixture.answer(fixture.attempt(0));
    assertThat(fixture.sent).hasSize(2);
    fixture.answer(fixture.attempt(1));

    assertThat(fixture.outcomes).hasSize(2);
  }

  @Test
  public void theDeadlineIsSentToTheServer() {
    fixture.route(true, "s");
    fixture.submit(Duration.ofMillis(700));
    long left = fixture.attempt(0).deadlineNanos() - fixture.clock.nanoTime();

    assertThat(Duration.ofNanos(left)).isBetween(Duration.ofMillis(650), Duration.ofMillis(700));
  }

  @Test
  public void withoutAConfigurationARequestIsRefusedAndRetryable() {
    fixture.submit();

    assertThat(fixture.error(0).kind()).isEqualTo(ErrorKind.NO_CONFIGURATION);
    assertThat(fixture.error(0).kind().httpStatus()).isEqualTo(503);
    assertThat(fixture.error(0).retryAfter()).isPresent();
  }

  @Test
  public void attemptsAtASilentServerEndAtTheDeadline() {
    fixture.route(false, "s");
    fixture.submit();
    String silent = fixture.attempt(0).server().id();
    fixture.advanceInSteps(ForwardFixture.TIMEOUT.plusMillis(50));

    assertThat(fixture.error(0).kind()).isEqualTo(ErrorKind.DEADLINE_EXCEEDED);
    assertThat(fixture.directory.find(silent).orElseThrow().openAttempts()).isZero();
  }

  @Test
  public void aRecentlyStartedProcessUsesHalfOfItsConnections() {
    ForwardFixture settled = new ForwardFixture(6);
    settled.route(true, "s");
    ForwardFixture starting = new ForwardFixture(6, Duration.ofSeconds(1));
    starting.route(true, "s");

    assertThat(settled.coordinator.connectionShare("s")).isEqualTo(4);
    assertThat(starting.coordinator.connectionShare("s")).isEqualTo(2);
  }
}

package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Load on a process that has just started: held requests and the limit on concurrent searches. */
public final class SlowStartTest {
  private static final int PARTS = 4;
  private static final int INITIAL_LIMIT = 3;
  private ForwardFixture fixture;

  @BeforeMethod
  public void create() {
    fixture = new ForwardFixture(4, Duration.ZERO);
  }

  private void configure() {
    fixture.route(true, "s1", "s2", "s3", "s4");
    for (String service : new String[] {"s1", "s2", "s3", "s4"}) {
      fixture.server(service + "-a", service);
      fixture.server(service + "-b", service);
    }
    fixture.coordinator.onListed();
  }

  private void answerSearch(int first) {
    List.copyOf(fixture.sent.subList(first, first + PARTS)).forEach(fixture::answer);
  }

  @Test
  public void runsThreeSearchesAtFirst() {
    configure();
    for (int i = 0; i < 6; i++) {
      fixture.submit();
    }

    assertThat(fixture.sent).hasSize(INITIAL_LIMIT * PARTS);
  }

  @Test
  public void eachSearchThatIsInTimeRaisesTheLimit() {
    configure();
    for (int i = 0; i < 6; i++) {
      fixture.submit();
    }
    answerSearch(0);

    // The ended search frees one place and raises the limit by one.
    assertThat(fixture.sent).hasSize((INITIAL_LIMIT + 2) * PARTS);
  }

  @Test
  public void lateSearchDoesNotRaiseTheLimit() {
    configure();
    for (int i = 0; i < INITIAL_LIMIT; i++) {
      fixture.submit();
    }
    fixture.advance(ForwardFixture.OBJECTIVE);
    answerSearch(0);
    for (int i = 0; i < 3; i++) {
      fixture.submit();
    }

    assertThat(fixture.sent).hasSize((INITIAL_LIMIT + 1) * PARTS);
  }

  @Test
  public void newestWaitingSearchStartsNext() {
    configure();
    for (int i = 0; i < 6; i++) {
      fixture.submit();
    }
    answerSearch(0);

    assertThat(fixture.attempt(INITIAL_LIMIT * PARTS).request().id()).isEqualTo("request-6");
    assertThat(fixture.attempt((INITIAL_LIMIT + 1) * PARTS).request().id()).isEqualTo("request-5");
  }

  @Test
  public void firstTryIsRefusedInTimeForARetry() {
    configure();
    for (int i = 0; i < 6; i++) {
      fixture.submit();
    }
    fixture.advanceInSteps(ForwardFixture.OBJECTIVE.dividedBy(4));

    assertThat(fixture.outcomes).hasSize(6 - INITIAL_LIMIT);
    assertThat(fixture.error(0).kind()).isEqualTo(ErrorKind.OVERLOADED);
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.NO);
    assertThat(fixture.error(0).retryAfter().orElseThrow())
        .isBetween(Duration.ofMillis(200), ForwardFixture.TIMEOUT.dividedBy(3));
    assertThat(fixture.sent).hasSize(INITIAL_LIMIT * PARTS);
  }

  @Test
  public void laterTryWaits() {
    configure();
    for (int i = 0; i < 4; i++) {
      fixture.submit();
    }
    fixture.submit(ForwardFixture.TIMEOUT.dividedBy(2));
    fixture.advanceInSteps(ForwardFixture.OBJECTIVE);
    int refused = fixture.outcomes.size();
    answerSearch(0);

    assertThat(fixture.sent.stream().anyMatch(sent -> sent.request().id().equals("request-5")))
        .isTrue();
    assertThat(fixture.outcomes).hasSize(refused + 1);
  }

  @Test
  public void limitIsLiftedAfterItsMaximumDuration() {
    configure();
    for (int i = 0; i < INITIAL_LIMIT; i++) {
      fixture.submit();
    }
    fixture.advance(ForwardFixture.OBJECTIVE);
    for (int i = 0; i < INITIAL_LIMIT; i++) {
      answerSearch(i * PARTS);
    }
    fixture.advance(Duration.ofSeconds(4));
    for (int i = 0; i < INITIAL_LIMIT + 1; i++) {
      fixture.submit();
    }

    assertThat(fixture.sent).hasSize((INITIAL_LIMIT + INITIAL_LIMIT + 1) * PARTS);
  }

  @Test
  public void aWarmProcessHasNoLimit() {
    configure();
    fixture.coordinator.onWarm();
    for (int i = 0; i < 6; i++) {
      fixture.submit();
    }

    assertThat(fixture.sent).hasSize(6 * PARTS);
  }

  @Test
  public void cancelledSearchFreesItsPlace() {
    configure();
    ForwardHandle running = fixture.submit();
    fixture.submit();
    ForwardHandle waiting = fixture.submit();
    fixture.submit();
    waiting.cancel();
    running.cancel();

    assertThat(fixture.sent).hasSize((INITIAL_LIMIT + 1) * PARTS);
    assertThat(fixture.attempt(INITIAL_LIMIT * PARTS).request().id()).isEqualTo("request-4");
    assertThat(fixture.coordinator.inProgress()).isEqualTo(2);
  }

  @Test
  public void partsMayComeLateWhileTheRouterIsSlowItself() {
    configure();
    fixture.submit();
    fixture.advanceInSteps(ForwardFixture.OBJECTIVE.multipliedBy(3));
    assertThat(fixture.outcomes).isEmpty();
    answerSearch(0);

    assertThat(fixture.merged(0).signatures()).isNotEmpty();
  }

  @Test
  public void requestsThatComeBeforeTheConfigurationAreHeldForAMoment() {
    fixture.submit();
    fixture.submit();
    fixture.advanceInSteps(Duration.ofMillis(300));
    assertThat(fixture.outcomes).isEmpty();
    configure();
    fixture.submit();

    assertThat(fixture.sent.get(0).request().id()).isEqualTo("request-2");
    assertThat(fixture.sent.get(PARTS).request().id()).isEqualTo("request-1");
  }

  @Test
  public void heldRequestsAreRefusedInTimeForARetryElsewhere() {
    fixture.submit();
    fixture.advanceInSteps(ForwardFixture.TIMEOUT.dividedBy(3));

    assertThat(fixture.error(0).kind()).isEqualTo(ErrorKind.NO_CONFIGURATION);
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.NO);
  }

  @Test
  public void nothingIsHeldWhileTheStoreDoesNotAnswer() {
    fixture.submit();
    fixture.submit();
    assertThat(fixture.outcomes).isEmpty();
    fixture.coordinator.onStoreLost();
    assertThat(fixture.outcomes).hasSize(2);
    fixture.submit();

    assertThat(fixture.error(2).kind()).isEqualTo(ErrorKind.NO_CONFIGURATION);
    assertThat(fixture.error(2).executed()).isEqualTo(Executed.NO);
  }

  @Test
  public void nothingIsHeldLongAfterTheStart() {
    fixture.advance(Duration.ofSeconds(2));
    fixture.submit();

    assertThat(fixture.error(0).kind()).isEqualTo(ErrorKind.NO_CONFIGURATION);
  }

  @Test
  public void cancelledHeldRequestIsNotSubmitted() {
    ForwardHandle handle = fixture.submit();
    handle.cancel();
    configure();

    assertThat(fixture.sent).isEmpty();
    fixture.advance(Duration.ofSeconds(5));
    assertThat(fixture.outcomes).isEmpty();
  }
}

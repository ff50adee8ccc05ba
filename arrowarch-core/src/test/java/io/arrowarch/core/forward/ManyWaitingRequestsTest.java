package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.tenant.Credential;
import io.arrowarch.core.tenant.Tenant;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests that are never answered because too many of them wait for one thing. A
 * request that ends may end the next one that waits, and so on. If each of them ends inside the
 * call that ended the one before, some ninety overflow the stack of the event loop; all of them
 * count as ended by then, and none has been answered.
 */
public final class ManyWaitingRequestsTest {
  private static final int REQUESTS = 10_000;
  private static final long STACK_BYTES = 256 * 1024;
  private static final long TEST_TIMEOUT_SECONDS = 120;
  private static final Credential KEY = Credential.ofKey("key");
  private static final Tenant HOLDER =
      new Tenant("t", ImmutableSet.of(KEY), Optional.empty(), Optional.empty());

  private ForwardFixture router;
  private boolean failsAtOnce;
  private int[] answers;

  @BeforeMethod
  public void create() {
    failsAtOnce = false;
    answers = new int[REQUESTS];
    router = routerOfAge(Duration.ofSeconds(11));
  }

  private ForwardFixture routerOfAge(Duration age) {
    ForwardFixture created =
        new ForwardFixture(
            new FakeClock(), "router-a", "zone-a", RouterGroup.ofCount(4), REQUESTS, this::onSent);
    created.advance(age);
    return created;
  }

  private void onSent(ServerAttempt attempt) {
    if (failsAtOnce) {
      router.fail(attempt, ServerFailure.NOT_WRITTEN);
    }
  }

  /** Three crashes make the request suspected, and those that wait may not be sent any more. */
  @Test
  public void requestsThatWaitWhenTheirServersCrashAreAnswered() throws Exception {
    onSmallStack(
        () -> {
          waitForConnection(3);
          crashAll();
        });
    assertEachAnsweredOnce();
  }

  /** The key is withdrawn while its requests wait, and the next reply frees a connection. */
  @Test
  public void requestsThatWaitWhenTheirKeyIsWithdrawnAreAnswered() throws Exception {
    onSmallStack(
        () -> {
          router.tenants = ImmutableList.of(HOLDER);
          waitForConnection(1);
          router.tenants = ImmutableList.of();
          router.route(2, true, "s");
          router.answer(router.attempt(0));
        });
    assertEachAnsweredOnce();
  }

  /** The view becomes too old to trust a key while its requests wait. */
  @Test
  public void requestsThatWaitWhenTheirKeyCannotBeConfirmedAreAnswered() throws Exception {
    onSmallStack(
        () -> {
          router.tenants = ImmutableList.of(HOLDER);
          waitForConnection(1);
          router.viewAge = Optional.of(Duration.ofSeconds(3));
          router.answer(router.attempt(0));
        });
    assertEachAnsweredOnce();
  }

  /** The first request that times out frees a connection when it is too late to use it. */
  @Test
  public void requestsWithTheSameDeadlineAreAnswered() throws Exception {
    onSmallStack(() -> waitForConnection(1));
    assertEachAnsweredOnce();
  }

  /**
   * The requests wait for servers that may not be used, of a route that is no longer configured.
   */
  @Test
  public void requestsThatWaitWhenTheirRouteAndItsServersAreRemovedAreAnswered() throws Exception {
    onSmallStack(
        () -> {
          waitForConnection(2);
          router.directory.onEvacuated("zone-a");
          router.route(2, true, "s1");
          router.answer(router.attempt(0));
        });
    assertEachAnsweredOnce();
  }

  /** A server becomes ready just before the router stops, so that a refused request ends others. */
  @Test
  public void requestsThatWaitWhenTheRouterStopsAreAnswered() throws Exception {
    onSmallStack(
        () -> {
          waitForConnection(1);
          router.server("late", "s");
          router.coordinator.endRequests();
        });
    assertEachAnsweredOnce();
  }

  /** Each attempt ends before it has been written, and frees its connection for the next one. */
  @Test
  public void requestsWhoseAttemptsFailAtOnceAreAnswered() throws Exception {
    onSmallStack(
        () -> {
          waitForConnection(1);
          failsAtOnce = true;
          router.answer(router.attempt(0));
        });
    assertEachAnsweredOnce();
  }

  /** Searches wait for a place in the slow start, and no server is left once they get it. */
  @Test
  public void searchesThatWaitForASlowStartAreAnswered() throws Exception {
    onSmallStack(
        () -> {
          router = routerOfAge(Duration.ofSeconds(2));
          router.server("server-1", "s1");
          router.server("server-2", "s2");
          router.route(true, "s1", "s2");
          submitAll();
          router.directory.onEvacuated("zone-a");
          router.coordinator.onWarm();
        });
    assertEachAnsweredOnce();
  }

  /** A defect met while one request is answered concerns that request only. */
  @Test
  public void errorInTheAnswerOfOneRequestDoesNotKeepTheOthersFromTheirs() throws Exception {
    onSmallStack(
        () -> {
          router.server("server-0", "s");
          router.route(true, "s");
          submitAll(REQUESTS / 2);
          failsAtOnce = true;
          assertThatThrownBy(() -> router.answer(router.attempt(0)))
              .isInstanceOf(StackOverflowError.class);
          failsAtOnce = false;
        });
    assertEachAnsweredOnce();
  }

  /** A caller that sends its next request on its answer overtook requests that wait longer. */
  @Test
  public void freedConnectionGoesToTheNextThatWaitsAndNotToARequestSentOnAnAnswer() {
    router.tenants = ImmutableList.of(HOLDER);
    router.isPublic = true;
    router.server("server-0", "s");
    router.route(true, "s");
    int connections = router.coordinator.connectionShare("s");
    for (int number = 0; number < connections; number++) {
      ForwardHandle unused = router.submit();
    }
    router.caller = Caller.withCredential(Optional.of(KEY));
    ForwardHandle unusedRefused =
        router.submit("refused", "/path", ForwardFixture.TIMEOUT, this::sendNext);
    router.caller = Caller.ANONYMOUS;
    ForwardHandle unusedWaiting = router.submit("waiting", "/path", ForwardFixture.TIMEOUT);
    router.tenants = ImmutableList.of();
    router.route(2, true, "s");
    router.answer(router.attempt(0));

    assertThat(router.sent).hasSize(connections + 1);
    assertThat(router.last().request().id()).isEqualTo("waiting");
    router.answer(router.attempt(1));
    assertThat(router.last().request().id()).isEqualTo("next");
  }

  private void sendNext(Either<QueryError, ForwardedAnswer> outcome) {
    ForwardHandle unused = router.submit("next", "/path", ForwardFixture.TIMEOUT);
  }

  private void waitForConnection(int servers) {
    for (int number = 0; number < servers; number++) {
      router.server("server-" + number, "s");
    }
    router.caller =
        Caller.withCredential(router.tenants.isEmpty() ? Optional.empty() : Optional.of(KEY));
    router.route(true, "s");
    submitAll();
    assertThat(router.sent).hasSizeLessThan(REQUESTS);
  }

  private void submitAll() {
    submitAll(REQUESTS);
  }

  /**
   * Submits all requests.
   *
   * @param failing number of the request whose answer meets a defect
   */
  private void submitAll(int failing) {
    for (int number = 0; number < REQUESTS; number++) {
      int index = number;
      ForwardHandle unused =
          router.submit(
              "request-" + number,
              "/path",
              ForwardFixture.TIMEOUT,
              outcome -> {
                answers[index]++;
                if (index == failing) {
                  throw new StackOverflowError("expected");
                }
              });
    }
  }

  /** Breaks every attempt that is open, also those that are sent meanwhile. */
  private void crashAll() {
    for (int next = 0; next < router.sent.size(); next++) {
      router.fail(router.attempt(next), ServerFailure.BROKEN);
    }
  }

  /** Runs the events of a test, and all timers of its requests, on the stack of a router. */
  private void onSmallStack(Runnable events) throws Exception {
    FutureTask<Boolean> task =
        new FutureTask<>(
            () -> {
              events.run();
              router.advance(ForwardFixture.TIMEOUT.plusSeconds(1));
            },
            true);
    new Thread(null, task, "small-stack", STACK_BYTES).start();
    assertThat(task.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
  }

  private void assertEachAnsweredOnce() {
    List<Integer> wrong = new ArrayList<>();
    for (int number = 0; number < REQUESTS; number++) {
      if (answers[number] != 1) {
        wrong.add(number);
      }
    }
    assertThat(wrong).as("requests not answered exactly once").isEmpty();
    assertThat(Arrays.stream(answers).sum()).isEqualTo(REQUESTS);
    assertThat(router.coordinator.inProgress()).isZero();
  }
}

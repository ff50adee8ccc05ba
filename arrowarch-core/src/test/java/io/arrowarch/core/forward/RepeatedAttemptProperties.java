package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/**
 * A server that has answered a request may answer it again, late. If the same request has been sent
 * to it once more by then, the late answer looks like the one that is awaited.
 */
class RepeatedAttemptProperties {
  private static final int SERVERS_OF_A_SERVICE = 2;

  /** What happens next; {@link Step#pick} selects the router, attempt, message or duration. */
  enum Event {
    REQUEST,
    ANSWER,
    SHED,
    MISDIRECT,
    SERVER_ERROR,
    FAIL,
    LEAVE,
    RETURN,
    CALLER_DISCONNECTS,
    DELIVER,
    DELEGATE_REPLY,
    DELEGATE_UNREACHABLE,
    DELEGATE_CONNECTION_BREAKS,
    FEWER_SHARDS_AT_DELEGATE,
    SHORT_TIME,
    LONG_TIME
  }

  /** One event and what it applies to. */
  record Step(Event event, int pick) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Event> events =
        Arbitraries.frequency(
            Tuple.of(8, Event.REQUEST),
            Tuple.of(14, Event.ANSWER),
            Tuple.of(3, Event.SHED),
            Tuple.of(1, Event.MISDIRECT),
            Tuple.of(2, Event.SERVER_ERROR),
            Tuple.of(5, Event.FAIL),
            Tuple.of(1, Event.LEAVE),
            Tuple.of(1, Event.RETURN),
            Tuple.of(1, Event.CALLER_DISCONNECTS),
            Tuple.of(5, Event.DELIVER),
            Tuple.of(4, Event.DELEGATE_REPLY),
            Tuple.of(1, Event.DELEGATE_UNREACHABLE),
            Tuple.of(1, Event.DELEGATE_CONNECTION_BREAKS),
            Tuple.of(1, Event.FEWER_SHARDS_AT_DELEGATE),
            Tuple.of(8, Event.SHORT_TIME),
            Tuple.of(1, Event.LONG_TIME));
    return Combinators.combine(events, Arbitraries.integers().between(0, 1_000))
        .as(Step::new)
        .list()
        .ofMinSize(20)
        .ofMaxSize(150);
  }

  @Property(tries = 300, seed = "20261205")
  void searchesReachAServerAgainOnlyAfterALostAnswerOrACanary(@ForAll("steps") List<Step> steps) {
    new Run(true, List.of("s1", "s2", "s3")).play(steps);
  }

  @Property(tries = 300, seed = "20261205")
  void repeatableRequestsReachAServerAgainOnlyAfterALostAnswer(@ForAll("steps") List<Step> steps) {
    new Run(true, List.of("s")).play(steps);
  }

  @Property(tries = 300, seed = "20261205")
  void unrepeatableRequestsNeverReachAServerAgain(@ForAll("steps") List<Step> steps) {
    Run run = new Run(false, List.of("s"));
    run.play(steps);

    assertThat(run.repeats).isZero();
  }

  @Property(tries = 300, seed = "20261205")
  void delegatedSearchesReachAServerAgainOnlyAfterALostAnswer(@ForAll("steps") List<Step> steps) {
    Run run = new Run(new RouterPair());
    run.play(steps);

    assertThat(run.repeatsAfterAnswer).isZero();
  }

  /**
   * A search may go to a server that has answered its canary, so that keeping late answers apart is
   * left to the transport.
   */
  @Example
  void searchReachesTheServerOfItsCanaryAgain() {
    ForwardFixture fixture = new ForwardFixture();
    fixture.route(true, "s1", "s2");
    fixture.server("s1-0", "s1");
    fixture.server("s2-0", "s2");
    for (int i = 0; i < 3; i++) {
      int first = fixture.sent.size();
      fixture.submit();
      fixture.fail(fixture.attempt(first), ServerFailure.BROKEN);
      fixture.advanceInSteps(ForwardFixture.TIMEOUT);
    }
    int first = fixture.sent.size();
    fixture.submit();
    ServerAttempt canary = fixture.last();
    assertThat(fixture.sent).hasSize(first + 1);

    fixture.answer(canary);

    assertThat(fixture.sent.subList(first + 1, fixture.sent.size()))
        .anyMatch(attempt -> Run.isSameRequest(canary, attempt));
  }

  /** Plays one sequence and checks each new attempt against the earlier ones of its request. */
  private static final class Run {
    private final Optional<RouterPair> pair;
    private final List<ForwardFixture> routers;
    private final List<ForwardHandle> handles = new ArrayList<>();
    private final Set<ServerAttempt> ended = new HashSet<>();
    private final Set<ServerAttempt> answered = new HashSet<>();
    private final int[] checked = new int[2];
    private final Set<ServerAttempt> lost = new HashSet<>();
    private long version = 1;
    private int repeats;
    private int repeatsAfterAnswer;

    Run(boolean repeatable, List<String> services) {
      ForwardFixture fixture = new ForwardFixture();
      pair = Optional.empty();
      routers = List.of(fixture);
      fixture.route(repeatable, services.toArray(new String[0]));
      for (String service : services) {
        for (int i = 0; i < SERVERS_OF_A_SERVICE; i++) {
          fixture.server(service + "-" + i, service);
        }
      }
    }

    Run(RouterPair pair) {
      this.pair = Optional.of(pair);
      routers = List.of(pair.near, pair.far);
    }

    void play(List<Step> steps) {
      for (Step step : steps) {
        apply(step);
        checkNewAttempts();
      }
      advance(ForwardFixture.TIMEOUT);
      checkNewAttempts();
    }

    private void apply(Step step) {
      switch (step.event()) {
        case REQUEST -> handles.add(routers.get(0).submit());
        case ANSWER -> reply(step, Optional.empty());
        case SHED -> reply(step, Optional.of(ForwardFixture.shed()));
        case MISDIRECT -> reply(step, Optional.of(ForwardFixture.misdirected()));
        case SERVER_ERROR -> reply(step, Optional.of(ForwardFixture.serverError()));
        case FAIL -> fail(step);
        case LEAVE -> router(step).directory.onGone(server(step), router(step).clock.nanoTime());
        case RETURN -> returnServer(step);
        case CALLER_DISCONNECTS -> pick(handles, step).ifPresent(ForwardHandle::cancel);
        case SHORT_TIME -> advance(Duration.ofMillis(step.pick() % 40));
        case LONG_TIME -> advance(Duration.ofMillis(step.pick()));
        default -> pair.ifPresent(both -> applyToDelegation(both, step));
      }
    }

    private void applyToDelegation(RouterPair both, Step step) {
      switch (step.event()) {
        case DELIVER -> pick(both.underWay.keySet(), step).ifPresent(both::deliver);
        case DELEGATE_REPLY -> pick(both.replies.keySet(), step).ifPresent(both::reply);
        case DELEGATE_UNREACHABLE ->
            pick(both.underWay.keySet(), step).ifPresent(number -> unreachable(both, number));
        case DELEGATE_CONNECTION_BREAKS ->
            pick(both.replies.keySet(), step)
                .ifPresent(
                    number ->
                        both.near.coordinator.onDelegateFailure(number, DelegateFailure.BROKEN));
        case FEWER_SHARDS_AT_DELEGATE -> both.cutFarIntoFewerShards(++version);
        default -> throw new AssertionError(step);
      }
    }

    private static void unreachable(RouterPair both, long number) {
      both.underWay.remove(number);
      both.near.coordinator.onDelegateFailure(number, DelegateFailure.UNREACHABLE);
    }

    private void reply(Step step, Optional<ServerReply> given) {
      ForwardFixture router = router(step);
      pick(open(router), step)
          .ifPresent(
              attempt -> {
                ended.add(attempt);
                answered.add(attempt);
                router.answer(attempt, given.orElseGet(() -> ForwardFixture.good(attempt)));
              });
    }

    private void fail(Step step) {
      ForwardFixture router = router(step);
      ServerFailure[] failures = ServerFailure.values();
      // Broken connections are what makes a request suspected of crashing servers.
      ServerFailure failure =
          step.pick() % 2 == 0 ? ServerFailure.BROKEN : failures[step.pick() % failures.length];
      pick(open(router), step)
          .ifPresent(
              attempt -> {
                ended.add(attempt);
                if (failure == ServerFailure.BROKEN || failure == ServerFailure.GARBLED) {
                  lost.add(attempt);
                }
                router.fail(attempt, failure);
              });
    }

    private void returnServer(Step step) {
      String server = server(step);
      if (!server.isEmpty()) {
        router(step).server(server, server.substring(0, server.indexOf('-')));
      }
    }

    private ForwardFixture router(Step step) {
      return routers.get(step.pick() % routers.size());
    }

    private String server(Step step) {
      return pick(router(step).sent, step).map(attempt -> attempt.server().id()).orElse("");
    }

    private List<ServerAttempt> open(ForwardFixture router) {
      return router.sent.stream()
          .filter(attempt -> !ended.contains(attempt) && !router.cancelled.contains(attempt))
          .toList();
    }

    private static <T> Optional<T> pick(Iterable<T> candidates, Step step) {
      int size = Iterables.size(candidates);
      return size == 0
          ? Optional.empty()
          : Optional.of(Iterables.get(candidates, step.pick() % size));
    }

    private void advance(Duration length) {
      pair.ifPresentOrElse(
          both -> both.advance(length), () -> routers.get(0).advanceInSteps(length));
    }

    private void checkNewAttempts() {
      for (int i = 0; i < routers.size(); i++) {
        ForwardFixture router = routers.get(i);
        for (; checked[i] < router.sent.size(); checked[i]++) {
          check(router, router.sent.get(checked[i]), router.sent.subList(0, checked[i]));
        }
      }
    }

    private void check(ForwardFixture router, ServerAttempt attempt, List<ServerAttempt> before) {
      List<ServerAttempt> earlier =
          before.stream().filter(other -> isSameRequest(other, attempt)).toList();
      if (earlier.isEmpty()) {
        return;
      }
      repeats++;
      repeatsAfterAnswer += earlier.stream().anyMatch(answered::contains) ? 1 : 0;
      assertThat(earlier)
          .as("all attempts before %s have ended", attempt)
          .allMatch(other -> ended.contains(other) || router.cancelled.contains(other));
      List<ServerAttempt> ofSameRun =
          earlier.stream().filter(other -> isOfSameRun(other, attempt)).toList();
      if (ofSameRun.isEmpty()) {
        assertThat(earlier)
            .as("canary before %s", attempt)
            .allMatch(other -> isCanary(other, before));
      } else {
        assertThat(ofSameRun).as("lost before %s", attempt).anyMatch(lost::contains);
      }
    }

    /** A canary runs one part of a search only, before the search. */
    private boolean isCanary(ServerAttempt attempt, List<ServerAttempt> before) {
      return attempt.merged()
          && before.stream()
              .filter(other -> isOfSameRun(other, attempt))
              .allMatch(other -> other.server().service().equals(attempt.server().service()));
    }

    /** The canary of a request has an equal request of its own. */
    @SuppressWarnings("ReferenceEquality")
    private static boolean isOfSameRun(ServerAttempt one, ServerAttempt other) {
      return one.request() == other.request();
    }

    private static boolean isSameRequest(ServerAttempt one, ServerAttempt other) {
      return one.request().id().equals(other.request().id())
          && one.server().id().equals(other.server().id());
    }
  }
}

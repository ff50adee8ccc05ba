package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.SetMultimap;
import io.arrowarch.core.server.ServerState;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/**
 * One router delegates searches to another under random sequences of requests, slow, lost and
 * repeated messages, broken connections, cancelled requests, and configurations that reach one
 * router first. Guards against requests that never end, end twice or run on more servers than
 * allowed.
 */
class DelegationProperties {
  private static final int SHARDS = 6;

  /** The kinds of steps; {@link Step#pick} chooses the request, attempt or message. */
  enum Event {
    REQUEST,
    ANSWER_NEAR,
    ANSWER_FAR,
    BREAK_FAR,
    DELIVER,
    REPLY,
    REPLY_TWICE,
    UNREACHABLE,
    CONNECTION_BREAKS,
    CALLER_LEAVES,
    NEWER_CONFIGURATION_NEAR,
    NEWER_CONFIGURATION_FAR,
    SHORT_TIME,
    LONG_TIME
  }

  /** One step of a sequence. */
  record Step(Event event, int pick) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Event> events =
        Arbitraries.frequency(
            Tuple.of(6, Event.REQUEST),
            Tuple.of(12, Event.ANSWER_NEAR),
            Tuple.of(12, Event.ANSWER_FAR),
            Tuple.of(1, Event.BREAK_FAR),
            Tuple.of(5, Event.DELIVER),
            Tuple.of(5, Event.REPLY),
            Tuple.of(1, Event.REPLY_TWICE),
            Tuple.of(1, Event.UNREACHABLE),
            Tuple.of(1, Event.CONNECTION_BREAKS),
            Tuple.of(1, Event.CALLER_LEAVES),
            Tuple.of(1, Event.NEWER_CONFIGURATION_NEAR),
            Tuple.of(1, Event.NEWER_CONFIGURATION_FAR),
            Tuple.of(8, Event.SHORT_TIME),
            Tuple.of(1, Event.LONG_TIME));
    return Combinators.combine(events, Arbitraries.integers().between(0, 1_000))
        .as(Step::new)
        .list()
        .ofMinSize(20)
        .ofMaxSize(150);
  }

  @Property(tries = 400, seed = "20261202")
  void searchesKeepTheirPromisesThroughTwoRouters(@ForAll("steps") List<Step> steps) {
    new Run().play(steps);
  }

  /** One sequence and the state that the checks need. */
  private static final class Run {
    private final RouterPair routers = new RouterPair();
    private final List<ForwardHandle> handles = new ArrayList<>();
    private final Set<ServerAttempt> answered = new HashSet<>();
    private long versionNear = 1;
    private long versionFar = 1;
    private int cancelled;

    void play(List<Step> steps) {
      for (Step step : steps) {
        apply(step);
        checkAttempts();
      }
      routers.advance(ForwardFixture.TIMEOUT.plusMillis(100));
      checkAttempts();
      checkOutcomes();
    }

    private void apply(Step step) {
      switch (step.event()) {
        case REQUEST -> handles.add(routers.near.submit());
        case ANSWER_NEAR -> open(routers.near, step).forEach(routers.near::answer);
        case ANSWER_FAR -> open(routers.far, step).forEach(routers.far::answer);
        case BREAK_FAR ->
            open(routers.far, step)
                .forEach(attempt -> routers.far.fail(attempt, ServerFailure.BROKEN));
        case DELIVER -> one(routers.underWay.keySet(), step).forEach(routers::deliver);
        case REPLY -> one(routers.replies.keySet(), step).forEach(routers::reply);
        case REPLY_TWICE -> one(routers.replies.keySet(), step).forEach(this::replyTwice);
        case UNREACHABLE -> one(routers.underWay.keySet(), step).forEach(this::unreachable);
        case CONNECTION_BREAKS ->
            one(routers.replies.keySet(), step)
                .forEach(
                    number ->
                        routers.near.coordinator.onDelegateFailure(number, DelegateFailure.BROKEN));
        case CALLER_LEAVES -> cancelOne(step);
        case NEWER_CONFIGURATION_NEAR -> routers.routeNear(++versionNear);
        case NEWER_CONFIGURATION_FAR -> newerConfigurationFar();
        case SHORT_TIME -> routers.advance(Duration.ofMillis(step.pick() % 40));
        case LONG_TIME -> routers.advance(Duration.ofMillis(step.pick()));
        default -> throw new AssertionError(step);
      }
    }

    /** Cycles through fewer shards, a route to one server, and the initial shards. */
    private void newerConfigurationFar() {
      versionFar++;
      switch ((int) (versionFar % 3)) {
        case 2 -> routers.cutFarIntoFewerShards(versionFar);
        case 0 -> routers.routeFarToOneServer(versionFar);
        default -> routers.routeFar(versionFar);
      }
    }

    private void replyTwice(long number) {
      DelegateReply reply = routers.replies.get(number);
      routers.reply(number);
      routers.near.coordinator.onDelegateReply(number, reply);
    }

    private void unreachable(long number) {
      routers.underWay.remove(number);
      routers.near.coordinator.onDelegateFailure(number, DelegateFailure.UNREACHABLE);
    }

    private List<ServerAttempt> open(ForwardFixture router, Step step) {
      List<ServerAttempt> candidates =
          router.sent.stream()
              .filter(attempt -> !answered.contains(attempt))
              .filter(attempt -> !router.cancelled.contains(attempt))
              .toList();
      List<ServerAttempt> chosen = one(candidates, step);
      answered.addAll(chosen);
      return chosen;
    }

    private static <T> List<T> one(Iterable<T> candidates, Step step) {
      List<T> all = new ArrayList<>();
      candidates.forEach(all::add);
      return all.isEmpty() ? List.of() : List.of(all.get(step.pick() % all.size()));
    }

    private void cancelOne(Step step) {
      if (handles.isEmpty()) {
        return;
      }
      int before = routers.near.coordinator.inProgress();
      int ended = routers.near.outcomes.size();
      handles.get(step.pick() % handles.size()).cancel();
      // A cancelled search frees capacity, so that others may continue and some of them end now.
      int endedNow = routers.near.outcomes.size() - ended;
      cancelled += before - routers.near.coordinator.inProgress() - endedNow;
    }

    /** Both routers together must not run a shard of a request on more servers than allowed. */
    private void checkAttempts() {
      SetMultimap<String, String> servers = HashMultimap.create();
      Map<String, Integer> sent = new HashMap<>();
      for (ForwardFixture router : List.of(routers.near, routers.far)) {
        for (ServerAttempt attempt : router.sent) {
          String key = attempt.request().id() + ' ' + attempt.server().service();
          servers.put(key, attempt.server().id());
          sent.merge(key, 1, Integer::sum);
        }
      }
      assertThat(servers.asMap().values()).allMatch(ran -> ran.size() <= 2);
      // A server may get the shard twice if its first answer was lost.
      assertThat(sent.values()).allMatch(attempts -> attempts <= 4);
    }

    private void checkOutcomes() {
      assertThat(routers.near.coordinator.inProgress()).isZero();
      assertThat(routers.far.coordinator.inProgress()).isZero();
      assertThat(routers.near.outcomes).hasSize(handles.size() - cancelled);
      for (ForwardFixture router : List.of(routers.near, routers.far)) {
        for (ServerState server : router.directory.all()) {
          assertThat(server.openAttempts()).as(server.id()).isZero();
        }
      }
      for (Either<?, ForwardedAnswer> outcome : routers.near.outcomes) {
        outcome.peek(Run::checkAnswer);
      }
    }

    private static void checkAnswer(ForwardedAnswer answer) {
      ForwardedAnswer.Merged merged = (ForwardedAnswer.Merged) answer;
      assertThat(merged.signatures()).isNotEmpty();
      assertThat(merged.signatures().size() + merged.missingParts()).isEqualTo(SHARDS);
      assertThat(2 * merged.signatures().size()).isGreaterThanOrEqualTo(SHARDS);
    }
  }
}

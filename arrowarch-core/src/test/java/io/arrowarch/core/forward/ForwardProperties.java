package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.SetMultimap;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.server.ServerState;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
 * Checks random sequences of requests, answers, failures, departing servers and elapsed time
 * against an oracle that records what each server received and replied. Guards against requests
 * that run too often, attempts at departed or replaced servers, and requests that never end.
 */
class ForwardProperties {
  private static final int SERVERS_OF_A_SERVICE = 3;
  private static final List<String> SHARDS = List.of("s1", "s2", "s3");

  /** What happens next; {@link Step#pick} selects the server, attempt, request or duration. */
  enum Event {
    REQUEST,
    ANSWER,
    SHED,
    MISDIRECT,
    SERVER_ERROR,
    BREAK,
    UNREACHABLE,
    LEAVE,
    RETURN,
    CALLER_DISCONNECTS,
    SHORT_TIME,
    LONG_TIME
  }

  /** One event and what it applies to. */
  record Step(Event event, int pick) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Event> events =
        Arbitraries.frequency(
            Tuple.of(6, Event.REQUEST),
            Tuple.of(12, Event.ANSWER),
            Tuple.of(3, Event.SHED),
            Tuple.of(1, Event.MISDIRECT),
            Tuple.of(2, Event.SERVER_ERROR),
            Tuple.of(3, Event.BREAK),
            Tuple.of(2, Event.UNREACHABLE),
            Tuple.of(1, Event.LEAVE),
            Tuple.of(1, Event.RETURN),
            Tuple.of(1, Event.CALLER_DISCONNECTS),
            Tuple.of(8, Event.SHORT_TIME),
            Tuple.of(1, Event.LONG_TIME));
    return Combinators.combine(events, Arbitraries.integers().between(0, 1_000))
        .as(Step::new)
        .list()
        .ofMinSize(20)
        .ofMaxSize(150);
  }

  @Property(tries = 400, seed = "20261202")
  void searchesHoldTheInvariants(@ForAll("steps") List<Step> steps) {
    new Run(true, SHARDS).play(steps);
  }

  @Property(tries = 400, seed = "20261202")
  void unrepeatableRequestsHoldTheInvariants(@ForAll("steps") List<Step> steps) {
    new Run(false, List.of("s")).play(steps);
  }

  @Property(tries = 400, seed = "20261202")
  void repeatableRequestsHoldTheInvariants(@ForAll("steps") List<Step> steps) {
    new Run(true, List.of("s")).play(steps);
  }

  /** A request is refused while its canary runs, after connections of many equal ones broke. */
  @Example
  void requestsBesideACanaryHoldTheInvariants() {
    List<Step> steps = new ArrayList<>();
    steps.addAll(Collections.nCopies(15, new Step(Event.REQUEST, 0)));
    steps.addAll(Collections.nCopies(3, new Step(Event.BREAK, 0)));
    steps.addAll(Collections.nCopies(2, new Step(Event.REQUEST, 0)));
    new Run(true, List.of("s")).play(steps);
  }

  /** Runs one sequence and records what the oracle knows. */
  private static final class Run {
    private final ForwardFixture fixture = new ForwardFixture();
    private final boolean repeatable;
    private final List<String> services;
    private final List<ForwardHandle> handles = new ArrayList<>();
    private final Set<Long> open = new HashSet<>();
    private final Set<Long> provenNotRun = new HashSet<>();
    private final Map<String, Long> leftAtNanos = new HashMap<>();
    private final Set<String> replaced = new HashSet<>();
    private int seen;
    private int cancelledByCallers;

    Run(boolean repeatable, List<String> services) {
      this.repeatable = repeatable;
      this.services = services;
      fixture.route(repeatable, services.toArray(new String[0]));
      for (String service : services) {
        for (int i = 0; i < SERVERS_OF_A_SERVICE; i++) {
          fixture.server(service + "-" + i, service);
        }
      }
    }

    void play(List<Step> steps) {
      for (Step step : steps) {
        apply(step);
        recordNewAttempts();
        checkAttempts();
      }
      fixture.advanceInSteps(ForwardFixture.TIMEOUT.plusMillis(100));
      recordNewAttempts();
      checkAttempts();
      checkOutcomes();
    }

    private void apply(Step step) {
      switch (step.event()) {
        case REQUEST -> handles.add(fixture.submit());
        case ANSWER -> reply(step, null);
        case SHED -> reply(step, ForwardFixture.shed());
        case MISDIRECT -> reply(step, ForwardFixture.misdirected());
        case SERVER_ERROR -> reply(step, ForwardFixture.serverError());
        case BREAK -> fail(step, ServerFailure.BROKEN);
        case UNREACHABLE -> fail(step, ServerFailure.UNREACHABLE);
        case LEAVE -> leave(server(step));
        case RETURN -> returnServer(server(step));
        case CALLER_DISCONNECTS -> disconnectCaller(step);
        case SHORT_TIME -> fixture.advanceInSteps(Duration.ofMillis(step.pick() % 40));
        case LONG_TIME -> fixture.advanceInSteps(Duration.ofMillis(step.pick()));
        default -> throw new AssertionError(step);
      }
    }

    private void reply(Step step, ServerReply given) {
      ServerAttempt attempt = openAttempt(step);
      if (attempt == null) {
        return;
      }
      ServerReply reply = given == null ? ForwardFixture.good(attempt) : given;
      open.remove(attempt.number());
      if (reply.notRun()) {
        provenNotRun.add(attempt.number());
      }
      if (reply.misdirected()) {
        replaced.add(attempt.server().id());
      }
      fixture.answer(attempt, reply);
    }

    private void fail(Step step, ServerFailure failure) {
      ServerAttempt attempt = openAttempt(step);
      if (attempt == null) {
        return;
      }
      open.remove(attempt.number());
      if (!failure.mayHaveRun()) {
        provenNotRun.add(attempt.number());
      }
      fixture.fail(attempt, failure);
    }

    private ServerAttempt openAttempt(Step step) {
      fixture.cancelled.forEach(attempt -> open.remove(attempt.number()));
      List<ServerAttempt> candidates =
          fixture.sent.stream().filter(attempt -> open.contains(attempt.number())).toList();
      return candidates.isEmpty() ? null : candidates.get(step.pick() % candidates.size());
    }

    private String server(Step step) {
      String service = services.get(step.pick() % services.size());
      return service + "-" + step.pick() % SERVERS_OF_A_SERVICE;
    }

    private void leave(String server) {
      fixture.directory.onGone(server, fixture.clock.nanoTime());
      leftAtNanos.putIfAbsent(server, fixture.clock.nanoTime());
    }

    private void returnServer(String server) {
      String service = server.substring(0, server.indexOf('-'));
      fixture.server(server, service);
      leftAtNanos.remove(server);
    }

    private void disconnectCaller(Step step) {
      if (!handles.isEmpty()) {
        int before = fixture.coordinator.inProgress();
        handles.get(step.pick() % handles.size()).cancel();
        cancelledByCallers += before - fixture.coordinator.inProgress();
      }
    }

    private void recordNewAttempts() {
      long lastResort = Duration.ofMillis(1_500).toNanos();
      for (; seen < fixture.sent.size(); seen++) {
        ServerAttempt attempt = fixture.sent.get(seen);
        open.add(attempt.number());
        String server = attempt.server().id();
        Long leftAt = leftAtNanos.get(server);
        assertThat(leftAt == null || fixture.sentAtNanos.get(seen) - leftAt <= lastResort)
            .as("a server that left long ago gets no attempts")
            .isTrue();
        assertThat(replaced).as("a replaced server gets no attempts").doesNotContain(server);
      }
    }

    /**
     * Checks that no request may have run on more servers of a service than its route allows, nor
     * on average more than twice on each, and that one that is not repeatable has run at most once.
     */
    private void checkAttempts() {
      SetMultimap<String, String> servers = HashMultimap.create();
      Map<String, Integer> mayHaveRun = new HashMap<>();
      for (ServerAttempt attempt : fixture.sent) {
        if (!provenNotRun.contains(attempt.number())) {
          String key = attempt.request().id() + " " + attempt.server().service();
          mayHaveRun.merge(key, 1, Integer::sum);
          servers.put(key, attempt.server().id());
        }
      }
      int most = repeatable ? 2 : 1;
      assertThat(servers.asMap().values()).allMatch(ran -> ran.size() <= most);
      assertThat(mayHaveRun.values()).allMatch(runs -> runs <= most * most);
    }

    private void checkOutcomes() {
      assertThat(fixture.coordinator.inProgress()).isZero();
      assertThat(fixture.outcomes).hasSize(handles.size() - cancelledByCallers);
      for (ServerState server : fixture.directory.all()) {
        assertThat(server.openAttempts()).as(server.id()).isZero();
      }
      for (Either<QueryError, ForwardedAnswer> outcome : fixture.outcomes) {
        outcome.peek(this::checkAnswer).peekLeft(Run::checkError);
      }
    }

    private void checkAnswer(ForwardedAnswer answer) {
      if (answer instanceof ForwardedAnswer.Merged merged) {
        assertThat(merged.signatures()).doesNotHaveDuplicates();
        assertThat(merged.signatures().size() + merged.missingParts()).isEqualTo(services.size());
        assertThat(2 * merged.signatures().size()).isGreaterThanOrEqualTo(services.size());
      }
    }

    private static void checkError(QueryError error) {
      if (error.executed() == Executed.NO) {
        // Callers must not come back soon with a request that may crash servers.
        boolean mayCrash = error.kind() == ErrorKind.ENDS_SERVERS;
        assertThat(error.retryAfter().isPresent())
            .as("retryAfter of a request that did not run: " + error)
            .isEqualTo(!mayCrash);
      }
    }
  }
}

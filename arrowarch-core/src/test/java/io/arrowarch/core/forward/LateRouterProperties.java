package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.route.RouteTarget;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * A router whose own work takes time, in virtual time: searches of callers, some of whom leave,
 * replies and failures of servers, other events. Requests that reach a server over half a second
 * after their caller's close has reached the router, attempts with more time than their caller has,
 * and requests held for over half a second beyond their time-out are counted.
 */
class LateRouterProperties {
  private static final Duration AGE = Duration.ofSeconds(11);
  private static final Duration LATEST = Duration.ofMillis(500);
  private static final Duration CALLER_WAIT = Duration.ofSeconds(1);
  private static final Duration LONGEST_BUSY = Duration.ofMillis(250);
  private static final Duration LONGEST_WORK = Duration.ofMillis(120);
  private static final int SHARDS = 24;

  @Property(tries = 150, seed = "20261205")
  void nothingIsSentLongAfterACallerHasLeft(
      @ForAll @Size(min = 1, max = 25) List<@IntRange(min = 0, max = 300) Integer> pauses,
      @ForAll @IntRange(min = 0, max = 25_000) int sendingMicros,
      @ForAll @IntRange(min = 0, max = 1_500) int replyMicros,
      @ForAll @DoubleRange(min = 0, max = 0.4) double busyShare,
      @ForAll @DoubleRange(min = 0, max = 0.3) double failureShare,
      @ForAll long seed) {
    Late late = new Late(sendingMicros, replyMicros, failureShare, seed);
    late.callers(pauses, busyShare);
    late.run();

    assertThat(late.violations).isEmpty();
  }

  /** One router, its callers and servers. */
  private static final class Late {
    private final List<String> violations = new ArrayList<>();
    private final FakeClock clock = new FakeClock();
    private final Random random;
    private final Duration sending;
    private final Duration reply;
    private final double failureShare;
    private final ForwardFixture router;
    private final VirtualLoop loop;
    private final Map<String, Long> sentNanos = new HashMap<>();
    private final Map<String, Long> closedNanos = new HashMap<>();
    private final Map<String, ForwardHandle> handles = new HashMap<>();
    private long endNanos;

    Late(int sendingMicros, int replyMicros, double failureShare, long seed) {
      this.random = new Random(seed);
      this.sending = Duration.ofNanos(1_000L * sendingMicros);
      this.reply = Duration.ofNanos(1_000L * replyMicros);
      this.failureShare = failureShare;
      router =
          new ForwardFixture(
              clock,
              "router-a",
              "zone-a",
              RouterGroup.ofCount(4),
              100,
              task -> loop().afterArrivals(task),
              this::onSent);
      loop = new VirtualLoop(clock, router.timers);
      ImmutableList.Builder<String> shards = ImmutableList.builder();
      for (int i = 0; i < SHARDS; i++) {
        shards.add("shard-" + i);
        for (String copy : List.of("a", "b", "c")) {
          router.server("server-" + copy + i, "shard-" + i);
        }
      }
      router.route(true, new RouteTarget.AllShards(shards.build(), 4, 0.5));
      router.advance(AGE);
    }

    private VirtualLoop loop() {
      return loop;
    }

    void callers(List<Integer> pauses, double busyShare) {
      long atNanos = clock.nanoTime();
      for (int caller = 0; caller < pauses.size(); caller++) {
        atNanos += Duration.ofMillis(pauses.get(caller)).toNanos();
        if (random.nextDouble() < busyShare) {
          Duration busy = Duration.ofMillis(random.nextInt((int) LONGEST_BUSY.toMillis()));
          loop.arrive("other", atNanos, () -> clock.advance(busy));
        }
        arrive("request-" + caller, atNanos);
      }
      endNanos = atNanos + Duration.ofSeconds(8).toNanos();
    }

    private void arrive(String id, long atNanos) {
      sentNanos.put(id, atNanos);
      loop.arrive(id, atNanos, () -> submit(id));
      if (random.nextInt(3) > 0) {
        long closed = atNanos + Duration.ofMillis(random.nextInt(400)).toNanos();
        closedNanos.put(id, closed);
        loop.arrive(id, closed, () -> handles.get(id).cancel());
      }
    }

    private void submit(String id) {
      ForwardedRequest request =
          router.request(id, "/" + id, CALLER_WAIT).withUnread(loop.longestWait());
      handles.put(id, router.coordinator.submit(request, outcome -> onOutcome(id, outcome)));
    }

    private void onOutcome(String id, Either<QueryError, ForwardedAnswer> outcome) {
      long heldNanos = clock.nanoTime() - sentNanos.get(id);
      if (heldNanos > CALLER_WAIT.plus(LATEST).toNanos()) {
        violations.add(id + " was held for " + Duration.ofNanos(heldNanos) + ": " + outcome);
      }
    }

    private void onSent(ServerAttempt attempt) {
      String id = attempt.request().id();
      long nowNanos = clock.nanoTime();
      long closed = closedNanos.getOrDefault(id, Long.MAX_VALUE - LATEST.toNanos());
      if (nowNanos > closed + LATEST.toNanos()) {
        violations.add(
            id + " was sent " + Duration.ofNanos(nowNanos - closed) + " after its close");
      }
      if (attempt.deadlineNanos() > sentNanos.get(id) + CALLER_WAIT.toNanos()) {
        violations.add(id + " was given more time than its caller has");
      }
      clock.advance(sending);
      long work = 1 + (long) (random.nextDouble() * LONGEST_WORK.toNanos());
      boolean fails = random.nextDouble() < failureShare;
      loop.arrive(
          "attempt-" + attempt.number(),
          clock.nanoTime() + work,
          () -> {
            clock.advance(reply);
            if (fails) {
              router.fail(attempt, ServerFailure.UNREACHABLE);
            } else {
              router.answer(attempt);
            }
          });
    }

    void run() {
      loop.runUntil(endNanos);
    }
  }
}

package io.arrowarch.emulator.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.wire.BackendReply;
import io.arrowarch.core.wire.BackendReport;
import io.arrowarch.core.wire.BackendRequest;
import io.arrowarch.core.wire.SearchHit;
import io.arrowarch.emulator.backend.BackendModel;
import io.arrowarch.emulator.backend.BackendOptions;
import io.arrowarch.emulator.backend.ExecutionLog;
import io.arrowarch.emulator.backend.ServiceTimes;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/** A back end process in virtual time, with faults in what it says. */
final class SimulatedBackend extends SimulatedProcess {
  private final BackendOptions options;
  private final TimerQueue timers = new TimerQueue();
  private final BackendModel model;
  private ReplyFault replyFault = ReplyFault.NONE;
  private boolean hidesDrain;
  private Optional<BackendReply> lastReply = Optional.empty();

  SimulatedBackend(
      BackendOptions options,
      long incarnation,
      long firstSnapshot,
      ServiceTimes serviceTimes,
      VirtualTime time,
      RandomGenerator random,
      ExecutionLog log) {
    super(time);
    this.options = options;
    this.model =
        new BackendModel(
            options,
            Long.toString(incarnation),
            firstSnapshot,
            serviceTimes,
            this,
            timers,
            random,
            log);
  }

  BackendOptions options() {
    return options;
  }

  BackendModel model() {
    return model;
  }

  void setReplyFault(ReplyFault fault) {
    replyFault = fault;
  }

  void hideDrain(boolean hide) {
    hidesDrain = hide;
  }

  /** Health as the back end tells it, which may hide that it is leaving. */
  BackendReport health() {
    BackendReport report = model.report();
    return hidesDrain
        ? new BackendReport(
            report.backend(),
            report.incarnation(),
            false,
            report.running(),
            report.waiting(),
            report.snapshots())
        : report;
  }

  /** Takes an attempt and hands its reply, perhaps a wrong one, to the connection. */
  void submit(BackendRequest request, Consumer<BackendReply> reply, Runnable broken) {
    model.submit(request, correct -> answer(correct, reply, broken));
  }

  private void answer(BackendReply correct, Consumer<BackendReply> reply, Runnable broken) {
    switch (replyFault) {
      case NONE -> reply.accept(correct);
      case BROKEN -> broken.run();
      case PREVIOUS -> reply.accept(lastReply.orElse(correct));
      case WRONG_SNAPSHOT -> reply.accept(withSnapshot(correct));
      case WRONG_SHARD -> reply.accept(withShard(correct));
    }
    lastReply = Optional.of(correct);
  }

  /** A reply that is drawn from the next snapshot, documents included. */
  private static BackendReply withSnapshot(BackendReply reply) {
    Optional<Long> other = reply.snapshot().map(snapshot -> snapshot + 1);
    return copy(reply, reply.shard(), other, hit -> fromSnapshot(hit, other));
  }

  private static BackendReply withShard(BackendReply reply) {
    return copy(reply, reply.shard() + "0", reply.snapshot(), hit -> hit);
  }

  private static SearchHit fromSnapshot(SearchHit hit, Optional<Long> snapshot) {
    ObjectNode document = hit.document().deepCopy();
    snapshot.ifPresent(number -> document.put("snapshot", number));
    return new SearchHit(hit.id(), hit.score(), document);
  }

  private static BackendReply copy(
      BackendReply reply, String shard, Optional<Long> snapshot, UnaryOperator<SearchHit> hits) {
    return new BackendReply(
        reply.attempt(),
        reply.layout(),
        shard,
        snapshot,
        reply.outcome(),
        reply.reason(),
        reply.hits().stream().map(hits).collect(ImmutableList.toImmutableList()),
        reply.document(),
        reply.report());
  }

  @Override
  void runTimers() {
    timers.runDue(nanoTime());
  }

  @Override
  OptionalLong nextTimerNanos() {
    return timers.nextDueNanos();
  }
}

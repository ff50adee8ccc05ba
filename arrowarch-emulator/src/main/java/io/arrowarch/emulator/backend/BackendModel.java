package io.arrowarch.emulator.backend;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.config.Operation;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.wire.BackendReply;
import io.arrowarch.core.wire.BackendReply.NotRunReason;
import io.arrowarch.core.wire.BackendReply.Outcome;
import io.arrowarch.core.wire.BackendReport;
import io.arrowarch.core.wire.BackendRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The behaviour of one back end without I/O: slots, a bounded queue, shedding, draining, deadlines,
 * cancellation, index snapshots. The emulator process and the simulation both run it.
 */
public final class BackendModel {
  /** An index keeps the newest snapshots, so that queries pinned to the last one can finish. */
  public static final int SNAPSHOTS_KEPT = 2;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final BackendOptions options;
  private final String incarnation;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final RandomGenerator random;
  private final ExecutionLog log;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private final Map<String, String> shardByLayout = new HashMap<>();
  private final Map<String, TreeSet<Long>> snapshots = new HashMap<>();
  private final Map<String, TimerQueue.Timer> running = new HashMap<>();
  private ServiceTimes serviceTimes;
  private boolean draining;

  private record Job(BackendRequest request, long deadlineNanos, Consumer<BackendReply> replyTo) {}

  /**
   * Creates an idle back end that holds snapshot {@code firstSnapshot} of each layout.
   *
   * @param incarnation must differ after every restart
   * @param log told of each run
   */
  public BackendModel(
      BackendOptions options,
      String incarnation,
      long firstSnapshot,
      ServiceTimes serviceTimes,
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      ExecutionLog log) {
    this.options = options;
    this.incarnation = incarnation;
    this.serviceTimes = serviceTimes;
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.log = log;
    options.shardByLayout().forEach((layout, shard) -> hold(layout, shard, firstSnapshot));
  }

  /** Takes up a shard of a layout, unless one of that layout is held already. */
  public void hold(String layoutId, String shard, long snapshot) {
    if (shardByLayout.putIfAbsent(layoutId, shard) == null) {
      snapshots.put(layoutId, new TreeSet<>(Set.of(snapshot)));
    }
  }

  /** Adds a snapshot of every layout; the oldest beyond {@link #SNAPSHOTS_KEPT} is dropped. */
  public void publish(long snapshot) {
    for (TreeSet<Long> held : snapshots.values()) {
      held.add(snapshot);
      while (held.size() > SNAPSHOTS_KEPT) {
        held.pollFirst();
      }
    }
  }

  /** Adds the snapshot after the newest. */
  public void publishNext() {
    snapshots.values().stream().mapToLong(TreeSet::last).max().ifPresent(n -> publish(n + 1));
  }

  /** Changes how long requests take from now on. */
  public void setServiceTimes(ServiceTimes changed) {
    serviceTimes = changed;
  }

  /** From now on takes no new work; what runs or waits is finished. */
  public void drain() {
    draining = true;
  }

  /** Whether nothing runs or waits. */
  public boolean isIdle() {
    return running.isEmpty() && waiting.isEmpty();
  }

  /** What it says of itself. */
  public BackendReport report() {
    ImmutableMap.Builder<String, Set<Long>> held = ImmutableMap.builder();
    snapshots.forEach((layout, set) -> held.put(layout, ImmutableSet.copyOf(set)));
    return new BackendReport(
        options.id(), incarnation, draining, running.size(), waiting.size(), held.buildOrThrow());
  }

  /** Takes a request; {@code replyTo} gets one reply unless the attempt is cancelled. */
  public void submit(BackendRequest request, Consumer<BackendReply> replyTo) {
    log.recordOffer(entry(request));
    Optional<NotRunReason> refusal = refusalOf(request);
    if (refusal.isPresent()) {
      replyTo.accept(notRun(request, refusal.get()));
      return;
    }
    long deadlineNanos = clock.nanoTime() + request.deadlineMillis() * NANOS_PER_MILLI;
    Job job = new Job(request, deadlineNanos, replyTo);
    if (running.size() < options.slots()) {
      run(job);
    } else {
      waiting.add(job);
    }
  }

  /** Drops an attempt that waits, or stops one that runs; its slot is free at once. */
  public void cancel(String attempt) {
    waiting.removeIf(job -> job.request().attempt().equals(attempt));
    TimerQueue.Timer completion = running.remove(attempt);
    if (completion != null) {
      completion.cancel();
      startWaiting();
    }
  }

  private Optional<NotRunReason> refusalOf(BackendRequest request) {
    if (draining) {
      return Optional.of(NotRunReason.DRAINING);
    }
    if (!request.shard().equals(shardByLayout.get(request.layout()))) {
      return Optional.of(NotRunReason.WRONG_SHARD);
    }
    if (waiting.size() >= options.maximumWaiting()) {
      return Optional.of(NotRunReason.SHED);
    }
    return snapshotRefusal(request);
  }

  private Optional<NotRunReason> snapshotRefusal(BackendRequest request) {
    boolean held =
        request.snapshot().isEmpty()
            || snapshots.get(request.layout()).contains(request.snapshot().get());
    return held ? Optional.empty() : Optional.of(NotRunReason.SNAPSHOT_GONE);
  }

  private void run(Job job) {
    long snapshot =
        job.request().snapshot().orElseGet(() -> snapshots.get(job.request().layout()).last());
    log.recordRun(entry(job.request()));
    long endNanos = clock.nanoTime() + serviceTimes.nextNanos(random);
    TimerQueue.Timer completion = timers.schedule(endNanos, () -> finish(job, snapshot));
    running.put(job.request().attempt(), completion);
  }

  private void finish(Job job, long snapshot) {
    running.remove(job.request().attempt());
    job.replyTo().accept(success(job.request(), snapshot));
    startWaiting();
  }

  private void startWaiting() {
    while (running.size() < options.slots() && !waiting.isEmpty()) {
      startNext(waiting.poll());
    }
  }

  private void startNext(Job job) {
    Optional<NotRunReason> refusal = snapshotRefusal(job.request());
    if (clock.nanoTime() >= job.deadlineNanos()) {
      refusal = Optional.of(NotRunReason.ABANDONED);
    }
    if (refusal.isPresent()) {
      job.replyTo().accept(notRun(job.request(), refusal.get()));
    } else {
      run(job);
    }
  }

  private ExecutionLog.Entry entry(BackendRequest request) {
    return new ExecutionLog.Entry(options.id(), incarnation, clock.nanoTime(), request);
  }

  private BackendReply notRun(BackendRequest request, NotRunReason reason) {
    return new BackendReply(
        request.attempt(),
        request.layout(),
        request.shard(),
        Optional.empty(),
        Outcome.NOT_RUN,
        Optional.of(reason),
        ImmutableList.of(),
        Optional.empty(),
        report());
  }

  private BackendReply success(BackendRequest request, long snapshot) {
    boolean search = request.operation() == Operation.SEARCH;
    return new BackendReply(
        request.attempt(),
        request.layout(),
        request.shard(),
        request.operation() == Operation.POST ? Optional.empty() : Optional.of(snapshot),
        Outcome.OK,
        Optional.empty(),
        search ? EmulatedIndex.search(request, snapshot) : ImmutableList.of(),
        search ? Optional.empty() : Optional.of(EmulatedIndex.document(request, snapshot)),
        report());
  }
}

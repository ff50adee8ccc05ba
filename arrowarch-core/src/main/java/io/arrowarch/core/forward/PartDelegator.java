package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Delegates groups of parts to routers nearer to their servers and tracks each group until it ends.
 * A group that the delegate has provably not run may be run here. A group that the delegate may
 * have run must not be: its second runs would not be kept within the limits on extra attempts.
 */
final class PartDelegator implements Delegator {
  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * A delegate answers by the attempts' deadline; after this much more it is taken to be silent.
   */
  private static final Duration SILENCE_SLACK = Duration.ofMillis(60);

  private final RouterClock clock;
  private final TimerQueue timers;
  private final DelegateChooser chooser;
  private final DelegateTransport transport;
  private final EventLog events;
  private final DelegationOverheadEstimate overhead = new DelegationOverheadEstimate();
  private final Map<Long, Group> groups = new HashMap<>();
  private long nextNumber = 1;

  PartDelegator(
      RouterClock clock,
      TimerQueue timers,
      DelegateChooser chooser,
      DelegateTransport transport,
      EventLog events) {
    this.clock = clock;
    this.timers = timers;
    this.chooser = chooser;
    this.transport = transport;
    this.events = events;
  }

  @Override
  public ImmutableList<DelegatedGroup> delegate(Search search, Listener listener) {
    ImmutableList<DelegateChooser.Choice> choices =
        chooser.choose(search.shards(), search.route(), clock.nanoTime());
    return choices.stream()
        .map(choice -> send(search, choice, listener))
        .collect(ImmutableList.toImmutableList());
  }

  private DelegatedGroup send(Search search, DelegateChooser.Choice choice, Listener listener) {
    long nowNanos = clock.nanoTime();
    long number = nextNumber++;
    DelegateState state = chooser.state(choice.delegate());
    RequestTimes times = search.times();
    long silenceDeadlineNanos =
        Math.min(
            times.responseDeadlineNanos(), times.attemptDeadlineNanos() + SILENCE_SLACK.toNanos());
    TimerQueue.Timer silence =
        timers.schedule(silenceDeadlineNanos, () -> onFailure(number, DelegateFailure.SILENT));
    Group group = new Group(number, search, choice, state, listener, silence);
    groups.put(number, group);
    state.onSent(number, nowNanos);
    // The delegate gets less time, so that its answer arrives before the deadline here.
    long reservedNanos = overhead.nanos(search.route().objective());
    transport.send(
        number,
        choice.delegate(),
        new DelegatedSearch(
            search.request(),
            search.version(),
            partsOf(search, choice),
            Duration.ofNanos(Math.max(1, times.responseDeadlineNanos() - nowNanos - reservedNanos)),
            Duration.ofNanos(times.objectiveNanos() - nowNanos - reservedNanos),
            search.isProven()));
    return group;
  }

  /** The minimum coverage of the search, a fraction, applies to each group as well. */
  private static RouteTarget.AllShards partsOf(Search search, DelegateChooser.Choice choice) {
    // Only searches are delegated.
    RouteTarget.AllShards all = (RouteTarget.AllShards) search.route().target();
    return new RouteTarget.AllShards(choice.shards(), all.limit(), all.minimumCoverage());
  }

  /** Handles a delegate's reply; ignores it if the group has ended already. */
  void onReply(long number, DelegateReply reply) {
    Group group = groups.remove(number);
    if (group == null) {
      return;
    }
    group.end();
    long nowNanos = clock.nanoTime();
    if (reply instanceof DelegateReply.Answered answered) {
      long overheadNanos = Math.max(0, nowNanos - group.startNanos - answered.took().toNanos());
      overhead.record(overheadNanos);
      group.state.onAnswered(overheadNanos, answered.inProgress(), nowNanos);
      log(group, "answered", "", answered.answer().missingParts());
      group.listener.onAnswered(group, answered.answer());
    } else if (reply instanceof DelegateReply.Declined declined) {
      group.state.suspend(nowNanos);
      log(group, "declined", declined.reason(), group.shards().size());
      group.listener.onDeclined(group);
    } else if (reply instanceof DelegateReply.Failed failed) {
      log(group, "failed", failed.error().kind().wireName(), group.shards().size());
      group.listener.onLost(group);
    }
  }

  /** Handles the end of a group without a reply; ignores it if the group has ended already. */
  void onFailure(long number, DelegateFailure failure) {
    Group group = groups.remove(number);
    if (group == null) {
      return;
    }
    group.end();
    group.state.suspend(clock.nanoTime());
    transport.cancel(number);
    log(
        group,
        failure.mayHaveRun() ? "lost" : "declined",
        failure.logName(),
        group.shards().size());
    if (failure.mayHaveRun()) {
      group.listener.onLost(group);
    } else {
      group.listener.onDeclined(group);
    }
  }

  private void log(Group group, String outcome, String reason, int missing) {
    events.log(
        new RouterEvent.PartsDelegated(
            group.search.request().id(),
            group.search.route().name(),
            group.choice.delegate().id(),
            outcome,
            reason,
            group.shards().size(),
            missing,
            (clock.nanoTime() - group.startNanos) / NANOS_PER_MILLI));
  }

  /** A group of parts that a delegate is running. */
  private final class Group implements DelegatedGroup {
    private final long number;
    private final Search search;
    private final DelegateChooser.Choice choice;
    private final DelegateState state;
    private final Listener listener;
    private final TimerQueue.Timer silence;
    private final long startNanos = clock.nanoTime();

    Group(
        long number,
        Search search,
        DelegateChooser.Choice choice,
        DelegateState state,
        Listener listener,
        TimerQueue.Timer silence) {
      this.number = number;
      this.search = search;
      this.choice = choice;
      this.state = state;
      this.listener = listener;
      this.silence = silence;
    }

    @Override
    public ImmutableList<String> shards() {
      return choice.shards();
    }

    @Override
    public void cancel() {
      if (groups.remove(number) != null) {
        end();
        transport.cancel(number);
        log(this, "cancelled", "the caller has gone", shards().size());
      }
    }

    void end() {
      silence.cancel();
      state.onEnded(number);
    }
  }
}

package io.arrowarch.core.replica;

import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.wire.BackendReport;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

/** What this router knows of one back end: its incarnation, drain marks, load, limit, failures. */
public final class ReplicaState {
  /** A back end not heard of for this long gets no new work until a probe is answered. */
  public static final Duration FRESHNESS_BOUND = Duration.ofSeconds(2);

  private static final int FAILURES_TO_EJECT = 3;
  private static final Duration FIRST_EJECTION = Duration.ofMillis(500);
  private static final int MAXIMUM_EJECTION_DOUBLINGS = 3;

  private Backend backend;
  private int maximumInFlight;
  private ConcurrencyLimit limit;
  private final Set<String> drainingIncarnations = new HashSet<>();
  private Optional<BackendReport> report = Optional.empty();
  private boolean listedAsLeaving;

  /** The incarnation that the platform's list means; the list itself does not name one. */
  private Optional<String> listMarkedIncarnation = Optional.empty();

  private long lastHeardNanos;
  private int inFlight;
  private int consecutiveFailures;
  private int ejections;
  private int ticksToProbe;
  private long ejectedUntilNanos = Long.MIN_VALUE;

  ReplicaState(Backend backend, int maximumInFlight) {
    this.backend = backend;
    this.maximumInFlight = maximumInFlight;
    this.limit = new ConcurrencyLimit(maximumInFlight);
  }

  /** The back end as configured. */
  public Backend backend() {
    return backend;
  }

  /** The newest report, if any. */
  public Optional<BackendReport> report() {
    return report;
  }

  /** Attempts of this router that are outstanding. */
  public int inFlight() {
    return inFlight;
  }

  /** Own attempts in flight plus what the back end last reported as waiting. */
  public int load() {
    return inFlight + report.map(BackendReport::waiting).orElse(0);
  }

  /** Whether another attempt fits the concurrency limit. */
  public boolean hasRoom() {
    return inFlight < limit.current();
  }

  /** The concurrency limit in force. */
  public int limit() {
    return limit.current();
  }

  /** Why the back end gets no new work now, or empty when it may. */
  public Optional<IneligibleReason> ineligibleReason(long nowNanos) {
    if (report.isEmpty()) {
      return Optional.of(IneligibleReason.NEVER_HEARD);
    }
    if (isDraining()) {
      return Optional.of(IneligibleReason.DRAINING);
    }
    if (isListedAsLeaving()) {
      return Optional.of(IneligibleReason.LEAVING);
    }
    if (nowNanos - lastHeardNanos > FRESHNESS_BOUND.toNanos()) {
      return Optional.of(IneligibleReason.NOT_HEARD_LATELY);
    }
    return Optional.empty();
  }

  /** Whether failures in a row have put the back end aside; a floor may still use it. */
  public boolean isEjected(long nowNanos) {
    return nowNanos < ejectedUntilNanos;
  }

  /** The snapshots that it last reported for a layout. */
  public Set<Long> snapshots(String layoutId) {
    return report
        .map(latest -> latest.snapshots().getOrDefault(layoutId, ImmutableSet.of()))
        .orElse(ImmutableSet.of());
  }

  /** Whether the current incarnation has been marked as draining, by itself or by a peer. */
  public boolean isDraining() {
    return report.map(latest -> drainingIncarnations.contains(latest.incarnation())).orElse(false);
  }

  void reconfigure(Backend updated, int updatedMaximum) {
    if (updatedMaximum != maximumInFlight) {
      maximumInFlight = updatedMaximum;
      limit = new ConcurrencyLimit(updatedMaximum);
    }
    backend = updated;
  }

  /** Takes a report; returns whether it marks a drain not known before. */
  boolean onReport(BackendReport latest, long nowNanos) {
    boolean restarted =
        report.isPresent() && !report.get().incarnation().equals(latest.incarnation());
    if (restarted) {
      consecutiveFailures = 0;
      ejectedUntilNanos = Long.MIN_VALUE;
    }
    if (report.isEmpty() && listedAsLeaving) {
      listMarkedIncarnation = Optional.of(latest.incarnation());
    }
    report = Optional.of(latest);
    lastHeardNanos = nowNanos;
    return latest.draining() && drainingIncarnations.add(latest.incarnation());
  }

  /** Marks an incarnation as draining; returns whether this was news. */
  boolean onDrainMark(String incarnation) {
    return drainingIncarnations.add(incarnation);
  }

  /**
   * Takes the word of the platform's list. It holds for the incarnation that runs when the word
   * first arrives: the list lags, and a restarted back end must not inherit it.
   */
  void onListed(boolean leaving) {
    if (leaving && !listedAsLeaving) {
      listMarkedIncarnation = report.map(BackendReport::incarnation);
    } else if (!leaving) {
      listMarkedIncarnation = Optional.empty();
    }
    listedAsLeaving = leaving;
  }

  private boolean isListedAsLeaving() {
    return listedAsLeaving && report.map(BackendReport::incarnation).equals(listMarkedIncarnation);
  }

  /** Notes a refused connection: no new work until the next report. */
  void onUnreachable(long nowNanos) {
    lastHeardNanos = nowNanos - FRESHNESS_BOUND.toNanos() - 1;
  }

  /** Counts down to the next probe; returns whether it is due. */
  boolean takeProbeTick(IntSupplier nextTicks) {
    ticksToProbe--;
    if (ticksToProbe > 0) {
      return false;
    }
    ticksToProbe = nextTicks.getAsInt();
    return true;
  }

  void onAttemptStarted() {
    inFlight++;
  }

  void onAttemptEnded(AttemptResult result, long nowNanos) {
    inFlight--;
    switch (result) {
      case SUCCESS -> {
        consecutiveFailures = 0;
        ejections = 0;
        limit.onSuccess(inFlight);
      }
      case SHED -> limit.onShed();
      case FAILURE -> countFailure(nowNanos);
      case UNREACHABLE -> onUnreachable(nowNanos);
      case NEUTRAL -> {}
    }
  }

  private void countFailure(long nowNanos) {
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURES_TO_EJECT) {
      long length = FIRST_EJECTION.toNanos() << Math.min(ejections, MAXIMUM_EJECTION_DOUBLINGS);
      ejectedUntilNanos = nowNanos + length;
      ejections++;
      consecutiveFailures = 0;
    }
  }
}

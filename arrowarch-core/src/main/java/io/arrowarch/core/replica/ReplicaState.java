package io.arrowarch.core.replica;

import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.wire.BackendReport;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

/** What this router knows of one back end: incarnation, drain marks, load, limit and failures. */
public final class ReplicaState {
  /** A back end without a report for this long gets no new work until its next report. */
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

  /**
   * The incarnation to which the leaving mark of the platform's list applies. The list does not
   * name incarnations.
   */
  private Optional<String> leavingIncarnation = Optional.empty();

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

  /** Number of attempts of this router that are outstanding. */
  public int inFlight() {
    return inFlight;
  }

  /** This router's attempts in flight plus the requests last reported as waiting. */
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

  /** Why the back end gets no new work now; empty if it may get some. */
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

  /** Whether consecutive failures have ejected it; it is still used where no other is left. */
  public boolean isEjected(long nowNanos) {
    return nowNanos < ejectedUntilNanos;
  }

  /** The snapshots that the back end last reported for a layout. */
  public Set<Long> snapshots(String layoutId) {
    return report
        .map(latest -> latest.snapshots().getOrDefault(layoutId, ImmutableSet.of()))
        .orElse(ImmutableSet.of());
  }

  /**
   * Whether the current incarnation has been marked as draining, by itself or through another
   * router.
   */
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

  /** Applies a report; returns whether it reports a drain that was not known before. */
  boolean onReport(BackendReport latest, long nowNanos) {
    boolean restarted =
        report.isPresent() && !report.get().incarnation().equals(latest.incarnation());
    if (restarted) {
      consecutiveFailures = 0;
      ejectedUntilNanos = Long.MIN_VALUE;
    }
    if (report.isEmpty() && listedAsLeaving) {
      leavingIncarnation = Optional.of(latest.incarnation());
    }
    report = Optional.of(latest);
    lastHeardNanos = nowNanos;
    return latest.draining() && drainingIncarnations.add(latest.incarnation());
  }

  /** Marks an incarnation as draining; returns whether it was not marked before. */
  boolean onDrainMark(String incarnation) {
    return drainingIncarnations.add(incarnation);
  }

  /**
   * Applies the platform's list. A leaving mark applies to the incarnation that runs when the mark
   * first arrives: the list lags, and a restarted back end must not inherit the mark.
   */
  void onListed(boolean leaving) {
    if (leaving && !listedAsLeaving) {
      leavingIncarnation = report.map(BackendReport::incarnation);
    } else if (!leaving) {
      leavingIncarnation = Optional.empty();
    }
    listedAsLeaving = leaving;
  }

  private boolean isListedAsLeaving() {
    return listedAsLeaving && report.map(BackendReport::incarnation).equals(leavingIncarnation);
  }

  /** Records that no connection could be opened: no new work until the next report. */
  void onUnreachable(long nowNanos) {
    lastHeardNanos = nowNanos - FRESHNESS_BOUND.toNanos() - 1;
  }

  /** Counts one tick down to the next probe; returns whether the probe is due. */
  boolean onProbeTick(IntSupplier nextTicks) {
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
      long ejectionNanos =
          FIRST_EJECTION.toNanos() << Math.min(ejections, MAXIMUM_EJECTION_DOUBLINGS);
      ejectedUntilNanos = nowNanos + ejectionNanos;
      ejections++;
      consecutiveFailures = 0;
    }
  }
}

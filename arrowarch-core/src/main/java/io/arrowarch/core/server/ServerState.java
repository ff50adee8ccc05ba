package io.arrowarch.core.server;

import java.time.Duration;
import java.util.Optional;

/** What one router knows of one server: its entry, own attempts, load, speed and failures. */
public final class ServerState {
  private static final Duration FIRST_SUSPENSION = Duration.ofMillis(250);
  private static final int MAXIMUM_DOUBLINGS = 3;
  private static final int FAILURES_TO_SUSPEND = 2;

  /** A report says nothing of the load any more after this long. */
  private static final Duration REPORT_LIFE = Duration.ofMillis(400);

  /** Weight of the newest sample of speed. */
  private static final double SPEED_WEIGHT = 0.3;

  /** A measured speed counts half after this long without samples. */
  private static final Duration SPEED_HALF_LIFE = Duration.ofSeconds(4);

  private static final double SLOWEST = 20;
  private static final double COLD_SLOWNESS = 1.6;

  private final Duration lastResort;
  private ServerEntry entry;
  private ServerStatus status = ServerStatus.READY;
  private long statusSinceNanos;
  private long warmAtNanos;
  private final OpenAttempts openAttempts = new OpenAttempts();
  private Optional<LoadReport> report = Optional.empty();
  private long reportNanos;
  private int openAtReport;
  private double slowness = 1;
  private long slownessNanos;
  private int consecutiveFailures;
  private int suspensions;
  private boolean suspended;
  private long suspendedUntilNanos;

  /**
   * Creates what is known of a server at first.
   *
   * @param lastResort how long it is still used when it is leaving and its service has no other
   * @param sinceNanos the earliest moment at which the entry may have been written
   */
  ServerState(ServerEntry entry, Duration lastResort, long sinceNanos, long nowNanos) {
    this.entry = entry;
    this.lastResort = lastResort;
    this.statusSinceNanos = sinceNanos;
    onEntry(entry, sinceNanos, nowNanos);
  }

  /** The newest entry. */
  public ServerEntry entry() {
    return entry;
  }

  /** The id of the incarnation. */
  public String id() {
    return entry.id();
  }

  /** Whether and how it may be used. */
  public ServerStatus status() {
    return status;
  }

  /** Attempts of this router that it has not answered. */
  public int openAttempts() {
    return openAttempts.size();
  }

  /** The newest report of its load, if any. */
  public Optional<LoadReport> report() {
    return report;
  }

  /** How old the newest report is; meaningless without one. */
  public Duration reportAge(long nowNanos) {
    return Duration.ofNanos(nowNanos - reportNanos);
  }

  /** Whether failures keep it from new work while others are sound. */
  public boolean isSuspended(long nowNanos) {
    return suspended && (nowNanos < suspendedUntilNanos || openAttempts.size() > 0);
  }

  /** Whether its entry says that it is ready, or has gone only a moment ago. */
  boolean isThere(long nowNanos) {
    return status == ServerStatus.READY || (status == ServerStatus.GONE && isRecent(nowNanos));
  }

  /** Whether it is leaving, but may be used where nothing else is left. */
  boolean isLastResort(long nowNanos) {
    return status == ServerStatus.DRAINING && isRecent(nowNanos);
  }

  private boolean isRecent(long nowNanos) {
    return nowNanos - statusSinceNanos < lastResort.toNanos();
  }

  /** Whether it is still cold after a start, so that it is slow and bears little. */
  public boolean isCold(long nowNanos) {
    return nowNanos < warmAtNanos;
  }

  /** Notes that it may be cold for some time from now on. */
  void onCold(Duration length, long nowNanos) {
    warmAtNanos = Math.max(warmAtNanos, nowNanos + length.toNanos());
  }

  /** For how long it has stood still beyond what is normal; 0 when it does not. */
  public long stalledNanos(long nowNanos) {
    return openAttempts.stalledNanos(nowNanos);
  }

  /** Requests that it is likely to hold now, of all routers. */
  public double load(long nowNanos) {
    if (report.isEmpty()) {
      return openAttempts.size();
    }
    int reported = report.get().running() + report.get().waiting();
    double ofOthers = Math.max(0, reported - openAtReport) * reportFreshness(nowNanos);
    return openAttempts.size() + ofOthers;
  }

  /** How much the newest report says of this moment: from 1, just come, to 0. */
  private double reportFreshness(long nowNanos) {
    return Math.max(0, 1 - (double) (nowNanos - reportNanos) / REPORT_LIFE.toNanos());
  }

  /** How many times as long as usual work takes there now, by its own word. */
  private double workFactor(long nowNanos) {
    return report
        .map(latest -> 1 + (latest.workFactor() - 1) * reportFreshness(nowNanos))
        .orElse(LoadReport.USUAL);
  }

  /** Whether one more attempt would run at once or be the next to run, as far as is known. */
  public boolean hasRoomForHedge(long nowNanos) {
    return load(nowNanos) < entry.slots() + 1;
  }

  /** How many times as long as usual its answers take; 1 is normal. */
  public double slowness(long nowNanos) {
    return lastingSlowness(nowNanos) * workFactor(nowNanos);
  }

  /** Slowness without what its machine does to it for a moment. */
  private double lastingSlowness(long nowNanos) {
    double halfLives = (double) (nowNanos - slownessNanos) / SPEED_HALF_LIFE.toNanos();
    double remembered = 1 + (slowness - 1) * Math.pow(0.5, halfLives);
    return isCold(nowNanos) ? Math.max(COLD_SLOWNESS, remembered) : remembered;
  }

  /** Takes a newer entry of the same incarnation, written at this moment or later. */
  void onEntry(ServerEntry newer, long sinceNanos, long nowNanos) {
    entry = newer;
    warmAtNanos = nowNanos + newer.warmUpLeft().toNanos();
    if (status != ServerStatus.REPLACED) {
      setStatus(newer.draining() ? ServerStatus.DRAINING : ServerStatus.READY, sinceNanos);
    }
  }

  /** Notes that its entry has gone at this moment. */
  void onGone(long sinceNanos) {
    if (status == ServerStatus.READY) {
      setStatus(ServerStatus.GONE, sinceNanos);
    }
  }

  /** Notes that another process has taken its name: it is gone for good. */
  void onRestarted(long nowNanos) {
    setStatus(ServerStatus.REPLACED, nowNanos);
  }

  /** Notes that it says itself that it is leaving. */
  void onDraining(long nowNanos) {
    if (status == ServerStatus.READY) {
      setStatus(ServerStatus.DRAINING, nowNanos);
    }
  }

  void onReport(LoadReport latest, long nowNanos) {
    report = Optional.of(latest);
    reportNanos = nowNanos;
    openAtReport = openAttempts.size();
  }

  void onStarted(long attempt, long nowNanos, long expectedNanos) {
    openAttempts.add(attempt, nowNanos, expectedNanos);
  }

  /**
   * Takes the end of an attempt.
   *
   * @param relativeLatency its length as a multiple of the usual; 0 when it says nothing
   */
  void onEnded(long attempt, AttemptVerdict verdict, double relativeLatency, long nowNanos) {
    openAttempts.remove(attempt);
    switch (verdict) {
      case SOUND -> onSound(relativeLatency, nowNanos);
      case FAILED -> onFailed(nowNanos, FAILURES_TO_SUSPEND);
      case UNREACHABLE -> onFailed(nowNanos, 1);
      case REPLACED -> setStatus(ServerStatus.REPLACED, nowNanos);
      case SHED, NONE -> {}
    }
  }

  private void onSound(double relativeLatency, long nowNanos) {
    consecutiveFailures = 0;
    suspensions = 0;
    suspended = false;
    if (relativeLatency > 0) {
      double sample = Math.min(SLOWEST, relativeLatency / workFactor(nowNanos));
      slowness = (1 - SPEED_WEIGHT) * lastingSlowness(nowNanos) + SPEED_WEIGHT * sample;
      slownessNanos = nowNanos;
    }
  }

  private void onFailed(long nowNanos, int failuresToSuspend) {
    consecutiveFailures++;
    if (consecutiveFailures < failuresToSuspend && !suspended) {
      return;
    }
    long length = FIRST_SUSPENSION.toNanos() << Math.min(suspensions, MAXIMUM_DOUBLINGS);
    suspended = true;
    suspendedUntilNanos = nowNanos + length;
    suspensions++;
    consecutiveFailures = 0;
  }

  private void setStatus(ServerStatus newer, long nowNanos) {
    if (status != newer) {
      status = newer;
      statusSinceNanos = nowNanos;
    }
  }

  /** When the status last changed, on the router's monotonic clock. */
  long statusSinceNanos() {
    return statusSinceNanos;
  }
}

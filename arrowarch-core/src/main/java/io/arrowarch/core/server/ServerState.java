package io.arrowarch.core.server;

import java.time.Duration;
import java.util.Optional;

/** What this router knows about one server: its entry, load, speed, failures and open attempts. */
public final class ServerState {
  private static final Duration FIRST_SUSPENSION = Duration.ofMillis(250);
  private static final int MAXIMUM_DOUBLINGS = 3;
  private static final int FAILURES_TO_SUSPEND = 2;

  /**
   * A server whose entry has expired during an outage of the store writes it again within this time
   * of the recovery. One whose entry is missing for longer has left.
   */
  static final Duration LONGEST_EXPIRY = Duration.ofSeconds(2);

  /** A load report has no effect after this time; until then its weight falls linearly. */
  private static final Duration REPORT_LIFETIME = Duration.ofMillis(400);

  /** Weight of the newest slowness sample. */
  private static final double SLOWNESS_SAMPLE_WEIGHT = 0.3;

  /** The deviation of the slowness from normal halves in this time without samples. */
  private static final Duration SLOWNESS_HALF_LIFE = Duration.ofSeconds(4);

  private static final double MAXIMUM_SLOWNESS = 20;
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
   * Creates the state of a server from its first entry.
   *
   * @param lastResort how long it is still used if it is leaving and its service has no other
   * @param sinceNanos the earliest time at which the entry may have been written
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

  /** Whether and how the server may be used. */
  public ServerStatus status() {
    return status;
  }

  /** The number of this router's attempts that the server has not answered. */
  public int openAttempts() {
    return openAttempts.size();
  }

  /** The newest load report, if any. */
  public Optional<LoadReport> report() {
    return report;
  }

  /** The age of the newest load report; meaningless without one. */
  public Duration reportAge(long nowNanos) {
    return Duration.ofNanos(nowNanos - reportNanos);
  }

  /**
   * Whether the server is avoided after failures: it gets no new attempts while its service has
   * healthy servers. It stays suspended beyond its time while an attempt is open, so that one
   * attempt at a time probes it.
   */
  public boolean isSuspended(long nowNanos) {
    return suspended && (nowNanos < suspendedUntilNanos || openAttempts.size() > 0);
  }

  /** Whether its entry says that it is ready, or was removed only recently. */
  boolean isAvailable(long nowNanos) {
    return status == ServerStatus.READY
        || (status == ServerStatus.GONE && isRecent(nowNanos) && mayHaveExpired(nowNanos));
  }

  private boolean mayHaveExpired(long nowNanos) {
    return nowNanos - statusSinceNanos < LONGEST_EXPIRY.toNanos();
  }

  /** Whether it is draining, but may still be used if its service has no other server. */
  boolean isLastResort(long nowNanos) {
    return status == ServerStatus.DRAINING && isRecent(nowNanos);
  }

  private boolean isRecent(long nowNanos) {
    return nowNanos - statusSinceNanos < lastResort.toNanos();
  }

  /** Whether it is still cold after a start, so that it is slow and can take few requests. */
  public boolean isCold(long nowNanos) {
    return nowNanos < warmAtNanos;
  }

  /** Treats the server as cold for at least this long from now. */
  void onCold(Duration length, long nowNanos) {
    warmAtNanos = Math.max(warmAtNanos, nowNanos + length.toNanos());
  }

  /** By how much its oldest open attempt exceeds the stall limit; 0 if it is not stalled. */
  public long stalledNanos(long nowNanos) {
    return openAttempts.stalledNanos(nowNanos);
  }

  /** The estimated number of requests, from all routers, that it is running or queueing now. */
  public double load(long nowNanos) {
    if (report.isEmpty()) {
      return openAttempts.size();
    }
    int reported = report.get().running() + report.get().waiting();
    double ofOthers = Math.max(0, reported - openAtReport) * reportFreshness(nowNanos);
    return openAttempts.size() + ofOthers;
  }

  /** The weight of the newest load report: 1 when it has just come, falling to 0. */
  private double reportFreshness(long nowNanos) {
    return Math.max(0, 1 - (double) (nowNanos - reportNanos) / REPORT_LIFETIME.toNanos());
  }

  /** The reported work factor, weighted by the freshness of the report. */
  private double workFactor(long nowNanos) {
    return report
        .map(latest -> 1 + (latest.workFactor() - 1) * reportFreshness(nowNanos))
        .orElse(LoadReport.USUAL_WORK_FACTOR);
  }

  /** Whether one more attempt would, by the estimated load, run at once or be next in the queue. */
  public boolean hasRoomForHedge(long nowNanos) {
    return load(nowNanos) < entry.slots() + 1;
  }

  /** How many times as long as usual its answers take; 1 is usual. */
  public double slowness(long nowNanos) {
    return lastingSlowness(nowNanos) * workFactor(nowNanos);
  }

  /** The slowness without the reported work factor, which covers momentary load on its machine. */
  private double lastingSlowness(long nowNanos) {
    double halfLives = (double) (nowNanos - slownessNanos) / SLOWNESS_HALF_LIFE.toNanos();
    double remembered = 1 + (slowness - 1) * Math.pow(0.5, halfLives);
    return isCold(nowNanos) ? Math.max(COLD_SLOWNESS, remembered) : remembered;
  }

  /**
   * Updates the state from a newer entry of the same incarnation.
   *
   * @param sinceNanos the earliest time at which the entry may have been written
   */
  void onEntry(ServerEntry newer, long sinceNanos, long nowNanos) {
    entry = newer;
    warmAtNanos = nowNanos + newer.warmUpLeft().toNanos();
    if (status != ServerStatus.REPLACED) {
      setStatus(newer.draining() ? ServerStatus.DRAINING : ServerStatus.READY, sinceNanos);
    }
  }

  /**
   * Records that its entry was removed.
   *
   * @param sinceNanos the time from which its absence is counted
   */
  void onGone(long sinceNanos) {
    if (status == ServerStatus.READY) {
      setStatus(ServerStatus.GONE, sinceNanos);
    }
  }

  /** Records that a new incarnation has taken its name, so that it never returns. */
  void onRestarted(long nowNanos) {
    setStatus(ServerStatus.REPLACED, nowNanos);
  }

  /** Records that the server has said that it is draining. */
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
   * Records the end of an attempt.
   *
   * @param relativeLatency its length as a multiple of the usual; 0 if it shows nothing of the
   *     speed
   */
  void onEnded(long attempt, AttemptVerdict verdict, double relativeLatency, long nowNanos) {
    openAttempts.remove(attempt);
    switch (verdict) {
      case ANSWERED -> onAnswered(relativeLatency, nowNanos);
      case FAILED -> onFailed(nowNanos, FAILURES_TO_SUSPEND);
      case UNREACHABLE -> onFailed(nowNanos, 1);
      case REPLACED -> setStatus(ServerStatus.REPLACED, nowNanos);
      case SHED, NONE -> {}
    }
  }

  private void onAnswered(double relativeLatency, long nowNanos) {
    consecutiveFailures = 0;
    suspensions = 0;
    suspended = false;
    if (relativeLatency > 0) {
      double sample = Math.min(MAXIMUM_SLOWNESS, relativeLatency / workFactor(nowNanos));
      slowness =
          (1 - SLOWNESS_SAMPLE_WEIGHT) * lastingSlowness(nowNanos)
              + SLOWNESS_SAMPLE_WEIGHT * sample;
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

package io.arrowarch.core.forward;

import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.SuspensionLog;
import java.time.Instant;

/** The clock of a machine that may be suspended while virtual time goes on. */
final class MachineClock implements RouterClock {
  private final RouterClock fleetClock;
  private final SuspensionLog suspensions;
  private long totalSuspendedNanos;
  private long suspendedAtNanos;
  private boolean suspended;

  MachineClock(RouterClock fleetClock) {
    this.fleetClock = fleetClock;
    this.suspensions = new SuspensionLog(fleetClock.nanoTime(), fleetClock.nanoTime());
  }

  void suspend() {
    if (!suspended) {
      suspended = true;
      suspendedAtNanos = fleetClock.nanoTime();
    }
  }

  void wake() {
    if (suspended) {
      suspended = false;
      totalSuspendedNanos += fleetClock.nanoTime() - suspendedAtNanos;
    }
  }

  @Override
  public long nanoTime() {
    return (suspended ? suspendedAtNanos : fleetClock.nanoTime()) - totalSuspendedNanos;
  }

  @Override
  public long suspendedSinceNanos(long nanos) {
    suspensions.compareClocks(nanoTime(), fleetClock.nanoTime());
    return suspensions.suspendedSinceNanos(nanos);
  }

  @Override
  public Instant wallTime() {
    return fleetClock.wallTime();
  }
}

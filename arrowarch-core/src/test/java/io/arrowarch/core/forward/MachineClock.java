package io.arrowarch.core.forward;

import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.SuspensionLog;
import java.time.Instant;

/** The clock of a machine that may be suspended while virtual time goes on. */
final class MachineClock implements RouterClock {
  private final RouterClock world;
  private final SuspensionLog suspensions;
  private long sleptNanos;
  private long suspendedNanos;
  private boolean suspended;

  MachineClock(RouterClock world) {
    this.world = world;
    this.suspensions = new SuspensionLog(world.nanoTime(), world.nanoTime());
  }

  void suspend() {
    if (!suspended) {
      suspended = true;
      suspendedNanos = world.nanoTime();
    }
  }

  void wake() {
    if (suspended) {
      suspended = false;
      sleptNanos += world.nanoTime() - suspendedNanos;
    }
  }

  @Override
  public long nanoTime() {
    return (suspended ? suspendedNanos : world.nanoTime()) - sleptNanos;
  }

  @Override
  public long suspendedSinceNanos(long nanos) {
    suspensions.notice(nanoTime(), world.nanoTime());
    return suspensions.sinceNanos(nanos);
  }

  @Override
  public Instant wallTime() {
    return world.wallTime();
  }
}

package io.arrowarch.node;

import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.SuspensionLog;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

/**
 * The clock of a real process. That the machine was suspended is told by the time of day, which
 * goes on: the virtual machine gives no other clock that does, and the time since boot that {@code
 * /proc} tells is the host's in places where a process is given clocks of its own.
 */
public final class SystemClock implements RouterClock {
  private final SuspensionLog suspensions = new SuspensionLog(System.nanoTime(), timeOfDayNanos());

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public long suspendedSinceNanos(long nanos) {
    suspensions.compareClocks(System.nanoTime(), timeOfDayNanos());
    return suspensions.suspendedSinceNanos(nanos);
  }

  @Override
  public Instant wallTime() {
    return Instant.now();
  }

  private static long timeOfDayNanos() {
    return TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
  }
}

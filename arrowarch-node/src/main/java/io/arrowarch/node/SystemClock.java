package io.arrowarch.node;

import io.arrowarch.core.time.RouterClock;
import java.time.Instant;

/** The clock of a real process. */
public final class SystemClock implements RouterClock {
  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public Instant wallTime() {
    return Instant.now();
  }
}

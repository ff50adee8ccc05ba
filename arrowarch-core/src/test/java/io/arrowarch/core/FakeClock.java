package io.arrowarch.core;

import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.time.Instant;

/** A clock that moves only when told. */
public final class FakeClock implements RouterClock {
  private long nanos;
  private Instant wall = Instant.parse("2026-06-15T12:00:00Z");

  /** Moves both times forward. */
  public void advance(Duration length) {
    nanos += length.toNanos();
    wall = wall.plus(length);
  }

  @Override
  public long nanoTime() {
    return nanos;
  }

  @Override
  public Instant wallTime() {
    return wall;
  }
}

package io.arrowarch.core;

import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.time.Instant;

/** A clock that advances only on request. It starts at noon UTC, with a nanosecond time of 0. */
public final class FakeClock implements RouterClock {
  private long nanos;
  private Instant wall = Instant.parse("2026-06-15T12:00:00Z");

  /** Advances the nanosecond time and the wall time. */
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

package io.arrowarch.core.replica;

import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Probes every back end at a jittered interval, so that each live one reports well within {@link
 * ReplicaState#FRESHNESS_BOUND}.
 */
public final class Prober {
  private static final Duration INTERVAL = Duration.ofMillis(700);
  private static final Duration TICK = Duration.ofMillis(50);
  private static final int TICKS_PER_INTERVAL = (int) (INTERVAL.toMillis() / TICK.toMillis());

  private final RouterClock clock;
  private final TimerQueue timers;
  private final RandomGenerator random;
  private final ReplicaTable replicas;
  private final ProbeTransport transport;

  /** Creates a prober, which sends nothing before {@link #start}. */
  public Prober(
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      ReplicaTable replicas,
      ProbeTransport transport) {
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.replicas = replicas;
    this.transport = transport;
  }

  /** Starts periodic probing. */
  public void start() {
    tick();
  }

  /** Probes every back end now; for a router that has no fresh reports. */
  public void probeAll() {
    replicas.all().forEach(replica -> transport.probe(replica.backend()));
  }

  private void tick() {
    timers.schedule(clock.nanoTime() + TICK.toNanos(), this::tick);
    for (ReplicaState replica : replicas.all()) {
      if (replica.onProbeTick(() -> nextProbeTicks())) {
        transport.probe(replica.backend());
      }
    }
  }

  private int nextProbeTicks() {
    return TICKS_PER_INTERVAL / 2 + random.nextInt(TICKS_PER_INTERVAL);
  }
}

package io.arrowarch.emulator.simulation;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Message delays between named hosts, with cuts (one way or both) and, for datagrams, loss,
 * duplication and reordering. Streams that meet a cut are broken rather than delayed.
 */
final class SimulatedNetwork {
  private static final Duration BASE_DELAY = Duration.ofMillis(1);
  private static final double JITTER = 0.2;

  private final VirtualTime time;
  private final RandomGenerator random;
  private final Set<Link> cuts = new HashSet<>();
  private double lossFraction;
  private double duplicateFraction;
  private Duration extraDelay = Duration.ZERO;

  private record Link(String from, String to) {}

  SimulatedNetwork(VirtualTime time, RandomGenerator random) {
    this.time = time;
    this.random = random;
  }

  void cut(String from, String to) {
    cuts.add(new Link(from, to));
  }

  void heal(String from, String to) {
    cuts.remove(new Link(from, to));
  }

  void healAll() {
    cuts.clear();
    lossFraction = 0;
    duplicateFraction = 0;
    extraDelay = Duration.ZERO;
  }

  void disturbDatagrams(double loss, double duplicates, Duration delay) {
    lossFraction = loss;
    duplicateFraction = duplicates;
    extraDelay = delay;
  }

  boolean isCut(String from, String to) {
    return cuts.contains(new Link(from, to));
  }

  /** Delivers a datagram perhaps never, once or twice. */
  void datagram(String from, String to, Runnable delivery) {
    if (isCut(from, to) || random.nextDouble() < lossFraction) {
      return;
    }
    time.after(datagramDelay(), delivery);
    if (random.nextDouble() < duplicateFraction) {
      time.after(datagramDelay(), delivery);
    }
  }

  /**
   * Delivers a message of a connection.
   *
   * @param delivery runs when the message arrives
   * @param broken runs when the connection breaks in place of that
   */
  void stream(String from, String to, Runnable delivery, Runnable broken) {
    time.after(
        delay(),
        () -> {
          if (isCut(from, to)) {
            broken.run();
          } else {
            delivery.run();
          }
        });
  }

  private Duration datagramDelay() {
    long extra = extraDelay.isZero() ? 0 : random.nextLong(extraDelay.toNanos());
    return delay().plusNanos(extra);
  }

  private Duration delay() {
    double factor = 1 + JITTER * random.nextDouble();
    return Duration.ofNanos((long) (BASE_DELAY.toNanos() * factor));
  }
}

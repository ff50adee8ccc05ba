package io.arrowarch.node.forward;

import com.google.common.primitives.Longs;
import io.vertx.core.MultiMap;
import java.time.Duration;
import java.util.Optional;

/** How a router states the age of its view of the store in an answer to another. */
final class ViewAge {
  /** Microseconds; negative when the view was confirmed after the question had come. */
  private static final String HEADER = "Arrowarch-View-Age";

  private static final long NANOS_PER_MICRO = 1_000;

  private ViewAge() {}

  static void put(MultiMap headers, Duration age) {
    // Rounded up: a view must not look younger than it is.
    headers.set(HEADER, Long.toString(Math.floorDiv(age.toNanos(), NANOS_PER_MICRO) + 1));
  }

  /** The age that an answer states; empty when it states none. */
  static Optional<Duration> in(MultiMap headers) {
    return Optional.ofNullable(headers.get(HEADER))
        .flatMap(text -> Optional.ofNullable(Longs.tryParse(text)))
        .map(micros -> Duration.ofNanos(Math.multiplyExact(micros, NANOS_PER_MICRO)));
  }
}

package io.arrowarch.node.forward;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.forward.Payload;
import io.arrowarch.core.memory.CallerAccount;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/**
 * Collects the body of one request. It takes room for a body whose length is known before the first
 * byte, and for one in chunks as it grows.
 */
final class BodyCollector {
  private static final int FIRST_BYTES = 4 << 10;

  /** By then callers that have stalled have been closed, or others have been served. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private final CallerAccount.Holder holder;
  private final int maximumBytes;
  private final int announcedBytes;
  private byte[] bytes = new byte[0];
  private int length;
  private int takenBytes;

  private BodyCollector(CallerAccount.Holder holder, int maximumBytes, int announcedBytes) {
    this.holder = holder;
    this.maximumBytes = maximumBytes;
    this.announcedBytes = announcedBytes;
  }

  /**
   * Begins a body.
   *
   * @param announcedBytes its length, if that is known
   * @param maximumBytes that it may have
   * @return an error if it is too long, or there is no room for it
   */
  static Either<QueryError, BodyCollector> begin(
      CallerAccount.Holder holder, Optional<Long> announcedBytes, int maximumBytes) {
    if (announcedBytes.isPresent() && announcedBytes.get() > maximumBytes) {
      return Either.left(tooLarge(maximumBytes));
    }
    int known = announcedBytes.map(Math::toIntExact).orElse(0);
    BodyCollector body = new BodyCollector(holder, maximumBytes, known);
    return body.tryTake(known) ? Either.right(body) : Either.left(noRoom());
  }

  /** Adds bytes; an error if the body is too long, or there is no room for it. */
  Optional<QueryError> add(Buffer chunk) {
    int needed = length + chunk.length();
    if (needed > maximumBytes) {
      return Optional.of(tooLarge(maximumBytes));
    }
    if (needed > bytes.length && !tryGrow(needed)) {
      return Optional.of(noRoom());
    }
    chunk.getBytes(bytes, length);
    length = needed;
    return Optional.empty();
  }

  private boolean tryGrow(int needed) {
    int capacity = announcedBytes;
    if (needed > announcedBytes) {
      capacity = Math.min(maximumBytes, Math.max(needed, Math.max(FIRST_BYTES, 2 * bytes.length)));
      if (!tryTake(capacity)) {
        return false;
      }
    }
    int before = bytes.length;
    bytes = Arrays.copyOf(bytes, capacity);
    if (capacity > announcedBytes) {
      giveBack(before);
    }
    return true;
  }

  /** The whole body. */
  Payload whole() {
    if (length < bytes.length) {
      giveBack(bytes.length - length);
      bytes = Arrays.copyOf(bytes, length);
    }
    return Payload.of(bytes);
  }

  /** Gives back the room of a body that is no longer needed. */
  void release() {
    giveBack(takenBytes);
    bytes = new byte[0];
  }

  private boolean tryTake(int more) {
    if (!holder.tryTake(more)) {
      return false;
    }
    takenBytes += more;
    return true;
  }

  private void giveBack(int less) {
    holder.giveBack(less);
    takenBytes -= less;
  }

  private static QueryError tooLarge(int maximumBytes) {
    return QueryError.of(
        ErrorKind.BODY_TOO_LARGE, "the body is longer than " + maximumBytes + " bytes");
  }

  private static QueryError noRoom() {
    return QueryError.of(ErrorKind.OVERLOADED, "callers' bodies take all memory set aside for them")
        .withRetryAfter(RETRY_AFTER);
  }
}

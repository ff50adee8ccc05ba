package io.arrowarch.core.memory;

import io.arrowarch.core.time.RouterClock;
import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Bounds the connections of callers, and the bytes that they make a router hold together. Each
 * connection takes room before it keeps bytes, and gives it back when it drops them.
 *
 * <p>When there is no room, connections that wait for their callers are closed, the one first that
 * has made no progress for longest. A new connection takes the place of any of them, since an
 * ordinary request needs its place for a moment only. For bytes only those are closed that have
 * made no progress within {@link #STALL}; if there are none, whoever asks for room is refused.
 * Requests that the router works on are never closed.
 *
 * <p>Not thread-safe.
 */
public final class CallerAccount {
  /** A caller that has sent or read nothing worth counting for this long has stalled. */
  static final Duration STALL = Duration.ofSeconds(1);

  /** What a caller must send or read for its progress to count. */
  static final int PROGRESS_BYTES = 256;

  /** A connection that holds no more than this may use the whole account. */
  static final int SMALL_BYTES = 16 << 10;

  /** The part of the account, as a divisor, that is kept for connections that hold little. */
  private static final int SMALL_DIVISOR = 4;

  private final RouterClock clock;
  private final long maximumBytes;
  private final int maximumConnections;

  /** Connections that wait for bytes of their callers, the least progress first. */
  private final Set<Holder> waiting = new LinkedHashSet<>();

  /** Connections without a request, the one that has rested for longest first. */
  private final Set<Holder> resting = new LinkedHashSet<>();

  private int connections;
  private long heldBytes;
  private long refused;
  private long evicted;

  /** Closes a connection that has to make room; it must give back what it holds at once. */
  public interface Eviction {
    /** Closes the connection. */
    void evict();
  }

  /**
   * Creates an account.
   *
   * @param maximumBytes that all connections may hold together
   * @param maximumConnections that may be open at the same time
   */
  public CallerAccount(RouterClock clock, long maximumBytes, int maximumConnections) {
    this.clock = clock;
    this.maximumBytes = maximumBytes;
    this.maximumConnections = maximumConnections;
  }

  /**
   * Takes a connection into account.
   *
   * @param eviction called when the connection has to make room
   * @return its holder; empty if there are too many connections and the router works for all
   */
  public Optional<Holder> connect(Eviction eviction) {
    if (connections >= maximumConnections && !evictLeastProgress()) {
      refused++;
      return Optional.empty();
    }
    connections++;
    Holder holder = new Holder(eviction);
    holder.rest();
    return Optional.of(holder);
  }

  /** Bytes that all connections hold. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Open connections. */
  public int connections() {
    return connections;
  }

  /** Connections and bytes that were refused for want of room since the start. */
  public long refused() {
    return refused;
  }

  /** Connections that were closed to make room since the start. */
  public long evicted() {
    return evicted;
  }

  /** Closes the connection that has made no progress for longest; false if none waits. */
  private boolean evictLeastProgress() {
    Optional<Holder> least =
        Stream.concat(resting.stream().limit(1), waiting.stream().limit(1))
            .min(Comparator.comparingLong(each -> each.progressNanos));
    least.ifPresent(this::evict);
    return least.isPresent();
  }

  /** Closes a stalled connection that holds bytes; false if there is none. */
  private boolean evictForBytes(Holder needy) {
    Optional<Holder> least =
        waiting.stream()
            .filter(each -> each != needy && each.ownBytes > 0)
            .findFirst()
            .filter(Holder::hasStalled);
    least.ifPresent(this::evict);
    return least.isPresent();
  }

  private void evict(Holder holder) {
    evicted++;
    holder.eviction.evict();
    holder.close();
  }

  /** What one connection holds. */
  public final class Holder {
    private final Eviction eviction;
    private long ownBytes;
    private long progressBytes;
    private long progressNanos;
    private boolean closed;

    private Holder(Eviction eviction) {
      this.eviction = eviction;
    }

    /**
     * Takes room for more bytes.
     *
     * @return whether there is room; if not, nothing is taken
     */
    public boolean tryTake(long bytes) {
      if (closed) {
        return false;
      }
      long maximum =
          ownBytes + bytes <= SMALL_BYTES
              ? maximumBytes
              : maximumBytes - maximumBytes / SMALL_DIVISOR;
      while (heldBytes + bytes > maximum) {
        if (!evictForBytes(this)) {
          refused++;
          return false;
        }
      }
      ownBytes += bytes;
      heldBytes += bytes;
      return true;
    }

    /** Gives room back. */
    public void giveBack(long bytes) {
      if (!closed) {
        ownBytes -= bytes;
        heldBytes -= bytes;
      }
    }

    /** From now on the connection waits for its caller to send or to read. */
    public void awaitCaller() {
      if (!closed) {
        resting.remove(this);
        waiting.remove(this);
        markProgress();
        waiting.add(this);
      }
    }

    /** From now on the router works for the caller. */
    public void awaitRouter() {
      resting.remove(this);
      waiting.remove(this);
    }

    /** From now on no request is on the connection. */
    public void rest() {
      if (!closed) {
        waiting.remove(this);
        resting.remove(this);
        markProgress();
        resting.add(this);
      }
    }

    /** The caller has sent or read bytes. */
    public void onProgress(long bytes) {
      progressBytes += bytes;
      if (progressBytes >= PROGRESS_BYTES && waiting.remove(this)) {
        markProgress();
        waiting.add(this);
      }
    }

    private void markProgress() {
      progressBytes = 0;
      progressNanos = clock.nanoTime();
    }

    private boolean hasStalled() {
      return clock.nanoTime() - progressNanos >= STALL.toNanos();
    }

    /** Bytes that this connection holds. */
    public long heldBytes() {
      return ownBytes;
    }

    /** The connection has ended: gives back all that it holds. */
    public void close() {
      if (!closed) {
        giveBack(ownBytes);
        closed = true;
        connections--;
        awaitRouter();
      }
    }
  }
}

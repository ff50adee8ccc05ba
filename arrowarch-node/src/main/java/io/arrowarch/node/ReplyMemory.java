package io.arrowarch.node;

/**
 * Limits the bytes of unfinished replies that are held at the same time, so that servers that send
 * without end do not exhaust the heap. Used by one event loop; not thread-safe.
 */
public final class ReplyMemory {
  /** Small replies go on being read while large ones use up the limit. */
  private static final int SMALL_REPLY_BYTES = 64 << 10;

  /** A buffer that grows, and the copy of a finished body, take several times what they hold. */
  private static final int HEAP_DIVISOR = 8;

  private final long maximumBytes;
  private long heldBytes;

  /**
   * Creates a limit.
   *
   * @param maximumBytes that larger replies may take together with all others
   */
  public ReplyMemory(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** A limit of a fixed part of this process's heap. */
  public static ReplyMemory ofHeap() {
    return new ReplyMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /** A limit that is never reached. */
  static ReplyMemory unlimited() {
    return new ReplyMemory(Long.MAX_VALUE);
  }

  /**
   * Takes room for more bytes of a reply.
   *
   * @param replyBytes bytes of this reply that are held already
   * @return whether there is room; if not, nothing is taken
   */
  boolean tryTake(int replyBytes, int moreBytes) {
    boolean isSmall = replyBytes + moreBytes <= SMALL_REPLY_BYTES;
    if (!isSmall && heldBytes + moreBytes > maximumBytes) {
      return false;
    }
    heldBytes += moreBytes;
    return true;
  }

  /** Returns the room that a reply has taken. */
  void release(int replyBytes) {
    heldBytes -= replyBytes;
  }

  long heldBytes() {
    return heldBytes;
  }
}

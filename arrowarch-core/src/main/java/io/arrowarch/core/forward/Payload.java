package io.arrowarch.core.forward;

import java.util.Arrays;

/**
 * The bytes of a body. Not copied, for bodies are large and pass through many hands: whoever has
 * made one must not change the bytes any more.
 */
public final class Payload {
  /** No bytes. */
  public static final Payload EMPTY = new Payload(new byte[0]);

  private final byte[] bytes;

  private Payload(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Wraps bytes that nobody changes any more. */
  public static Payload of(byte[] bytes) {
    return bytes.length == 0 ? EMPTY : new Payload(bytes);
  }

  /** The bytes, to be read only. */
  public byte[] bytes() {
    return bytes;
  }

  /** Number of bytes. */
  public int length() {
    return bytes.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Payload payload && Arrays.equals(bytes, payload.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return bytes.length + " bytes";
  }
}

package io.arrowarch.core.forward;

import java.util.Arrays;

/**
 * The bytes of a body. They are not copied, since bodies are large and pass through many classes;
 * the array must not be modified after a payload has been created from it.
 */
public final class Payload {
  /** The empty payload. */
  public static final Payload EMPTY = new Payload(new byte[0]);

  private final byte[] bytes;

  private Payload(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Wraps an array, which must not be modified afterwards. */
  public static Payload of(byte[] bytes) {
    return bytes.length == 0 ? EMPTY : new Payload(bytes);
  }

  /** The wrapped array; callers must not modify it. */
  public byte[] bytes() {
    return bytes;
  }

  /** Length in bytes. */
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

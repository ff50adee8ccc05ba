package io.arrowarch.node.http;

import java.util.Arrays;

/** Bytes that are collected until what they belong to is whole. */
final class LineBytes {
  private static final int USUAL_BYTES = 512;

  private final int maximumBytes;
  private byte[] bytes = new byte[USUAL_BYTES];
  private int length;

  LineBytes(int maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** Adds a byte; returns false if there is no room for it. */
  boolean add(byte value) {
    if (length == maximumBytes) {
      return false;
    }
    if (length == bytes.length) {
      bytes = Arrays.copyOf(bytes, 2 * length);
    }
    bytes[length++] = value;
    return true;
  }

  /** Whether the last bytes are these. */
  boolean endsWith(byte[] end) {
    return length >= end.length
        && Arrays.equals(bytes, length - end.length, length, end, 0, end.length);
  }

  byte[] array() {
    return bytes;
  }

  int length() {
    return length;
  }

  void clear() {
    length = 0;
  }

  /** The bytes so far, shortened and escaped. */
  String excerpt() {
    return Excerpt.of(bytes, length);
  }
}

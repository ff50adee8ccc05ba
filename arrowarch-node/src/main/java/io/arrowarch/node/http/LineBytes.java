package io.arrowarch.node.http;

import io.netty.buffer.ByteBuf;
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

  /** Moves bytes here; returns false and moves none if there is no room for them. */
  boolean add(ByteBuf in, int count) {
    if (length + count > maximumBytes) {
      return false;
    }
    if (length + count > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(length + count, 2 * bytes.length));
    }
    in.readBytes(bytes, length, count);
    length += count;
    return true;
  }

  /** Whether the last bytes are these. */
  boolean endsWith(byte[] end) {
    return length >= end.length
        && Arrays.equals(bytes, length - end.length, length, end, 0, end.length);
  }

  /** Bytes that are kept beyond those that each connection keeps. */
  int bytesBeyondUsual() {
    return bytes.length - USUAL_BYTES;
  }

  byte[] array() {
    return bytes;
  }

  int length() {
    return length;
  }

  void clear() {
    length = 0;
    if (bytes.length > USUAL_BYTES) {
      bytes = new byte[USUAL_BYTES];
    }
  }

  /** The bytes so far, shortened and escaped. */
  String excerpt() {
    return Excerpt.of(bytes, length);
  }
}

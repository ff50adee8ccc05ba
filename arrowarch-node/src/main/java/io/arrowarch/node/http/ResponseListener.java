package io.arrowarch.node.http;

/** Told what is wrong with the bytes of a peer. */
public interface ResponseListener {
  /** Does nothing. */
  ResponseListener NONE = new ResponseListener() {};

  /**
   * The connection can take no further request; called before a response that is whole is given
   * out.
   */
  default void onUnusable() {}

  /**
   * Bytes that are no response, after which the connection is closed.
   *
   * @param bytes how many came at once
   */
  default void onMalformed(MalformedResponseException malformed, int bytes) {}
}

package io.arrowarch.node.http;

/**
 * A peer has sent bytes that are no response to what it was asked. The connection cannot be used
 * again: nothing shows where its next response begins.
 */
public final class MalformedResponseException extends Exception {
  private static final long serialVersionUID = 1;

  private final ResponseFault fault;
  private final String excerpt;

  /**
   * Creates an exception.
   *
   * @param excerpt the bytes in question, shortened and escaped
   */
  MalformedResponseException(ResponseFault fault, String excerpt) {
    super("malformed response (" + fault.logName() + "): " + excerpt, null, false, false);
    this.fault = fault;
    this.excerpt = excerpt;
  }

  /** What is wrong. */
  public ResponseFault fault() {
    return fault;
  }

  /** The bytes in question, shortened and escaped. */
  public String excerpt() {
    return excerpt;
  }
}

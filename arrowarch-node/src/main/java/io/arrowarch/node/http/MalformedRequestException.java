package io.arrowarch.node.http;

/** A caller has sent bytes that are no request. Nothing shows where its next request begins. */
public final class MalformedRequestException extends Exception {
  private static final long serialVersionUID = 1;

  MalformedRequestException(String fault, String excerpt) {
    super("malformed request (" + fault + "): " + excerpt, null, false, false);
  }

  /** Of a part whose grammar requests and responses share. */
  MalformedRequestException(MalformedResponseException malformed) {
    this(malformed.fault().logName(), malformed.excerpt());
  }
}

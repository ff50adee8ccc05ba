package io.arrowarch.core.forward;

/** Whether attempts of a request may still be sent. */
interface RunPermit {
  /** For a request that needs no API key. */
  RunPermit ALWAYS = () -> true;

  /**
   * Whether an attempt may be sent. To be called right before each one, since the API key may be
   * revoked or the router's view may become too old while the request waits.
   */
  boolean isValid();
}

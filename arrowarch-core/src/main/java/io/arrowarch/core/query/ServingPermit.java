package io.arrowarch.core.query;

/** Whether the router may start work on the strength of its configuration. */
public interface ServingPermit {
  /** Whether the configuration in force is confirmed at this moment. */
  boolean isConfirmed(long nowNanos);
}

package io.arrowarch.core.query;

/** Tells whether the router's configuration is confirmed. No attempt is written while it is not. */
public interface ServingPermit {
  /** Whether the configuration in force is confirmed at the given time. */
  boolean isConfirmed(long nowNanos);
}

package io.arrowarch.core.forward;

/** The role of a router in the searches of its fleet. */
public enum SearchRole {
  /** Queries all servers itself, as every router does. */
  DIRECT,
  /** Gathers searches for other routers, as a primary or a backup gatherer. */
  GATHERER,
  /** Delegates searches to gatherers. */
  DELEGATING
}

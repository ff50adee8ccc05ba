package io.arrowarch.core.forward;

/** The role of a router in the searches of its fleet. */
public enum SearchRole {
  /** Searches are not gathered: every router queries all servers itself. */
  DIRECT,
  /** Gathers searches for other routers, as a primary or a backup gatherer. */
  GATHERER,
  /** Delegates searches to gatherers. */
  DELEGATING
}

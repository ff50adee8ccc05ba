package io.arrowarch.core.forward;

/** The role of a router in the searches of its fleet. */
public enum SearchRole {
  /** Queries all servers itself, as every router does. */
  ALONE,
  /** Gathers searches for other routers, as a primary or a backup gatherer. */
  GATHERS,
  /** Delegates searches to gatherers. */
  HANDS_ON
}

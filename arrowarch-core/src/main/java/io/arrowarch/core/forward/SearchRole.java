package io.arrowarch.core.forward;

/** What a router is for the searches of its fleet. */
public enum SearchRole {
  /** Every router asks all servers itself. */
  ALONE,
  /** Gathers searches for others, or would where those of first rank fail. */
  GATHERS,
  /** Hands searches on. */
  HANDS_ON
}
